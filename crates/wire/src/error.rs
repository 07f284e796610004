//! Errors of frames and their transport.

use names::Instance;

/// Why a frame was refused or could not be sent.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes are not a message of the expected type.
    #[error("frame of {length} bytes is not a valid {what}: {source}")]
    Form {
        /// What was expected.
        what: &'static str,
        /// Length of the bytes.
        length: usize,
        /// The codec's error.
        source: postcard::Error,
    },
    /// The frame is larger than a frame may be.
    #[error("frame of {length} bytes is larger than {limit} bytes")]
    Large {
        /// Length announced or met.
        length: usize,
        /// Largest allowed length.
        limit: usize,
    },
    /// The frame ends before its announced length.
    #[error("frame of {length} bytes is truncated")]
    Truncated {
        /// Length met.
        length: usize,
    },
    /// The tag does not match under any accepted fleet secret.
    #[error("frame is not authenticated by an accepted fleet secret")]
    Forged,
    /// The sequence number was seen before or is too old.
    #[error("frame {sequence} of instance \"{sender}\" was seen before or is too old")]
    Replayed {
        /// The sender as the frame names it.
        sender: Instance,
        /// The frame's sequence number.
        sequence: u64,
    },
    /// The frame is addressed to another instance.
    #[error("frame is addressed to instance \"{addressee}\"")]
    Misdirected {
        /// The instance that the frame is addressed to.
        addressee: Instance,
    },
    /// The other side speaks another version of the protocol.
    #[error("protocol version {version} is not supported; help: upgrade the older instance")]
    Version {
        /// The version met.
        version: u8,
    },
    /// A socket failed.
    #[error("socket {address}: {source}")]
    Socket {
        /// The address that was bound or connected.
        address: String,
        /// The system's error.
        source: std::io::Error,
    },
}
