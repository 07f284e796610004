//! Errors of frames and their transport.

use names::Instance;

/// Error from sending, receiving or decoding a frame.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes are not a message of the expected type.
    #[error("frame of {length} bytes is not a valid {what}: {source}")]
    Malformed {
        /// Name of the expected message.
        what: &'static str,
        /// Length of the frame in bytes.
        length: usize,
        /// Error from the codec.
        source: postcard::Error,
    },
    /// The frame is larger than the limit.
    #[error("frame of {length} bytes is larger than {limit} bytes")]
    TooLarge {
        /// Announced or actual length in bytes.
        length: usize,
        /// Largest allowed length in bytes.
        limit: usize,
    },
    /// The frame ends before its announced length.
    #[error("frame of {length} bytes is truncated")]
    Truncated {
        /// Actual length in bytes.
        length: usize,
    },
    /// The tag does not match under any accepted fleet secret.
    #[error("frame is not authenticated by an accepted fleet secret")]
    Unauthenticated,
    /// The sequence number was seen before or is too old.
    #[error("frame {sequence} of instance \"{sender}\" was seen before or is too old")]
    Replayed {
        /// Sender named in the frame.
        sender: Instance,
        /// Sequence number of the frame.
        sequence: u64,
    },
    /// The frame is addressed to another instance.
    #[error("frame is addressed to instance \"{addressee}\"")]
    Misdirected {
        /// Instance that the frame is addressed to.
        addressee: Instance,
    },
    /// The peer uses another version of the protocol.
    #[error("protocol version {version} is not supported; help: upgrade the older instance")]
    UnsupportedVersion {
        /// Version named in the frame.
        version: u8,
    },
    /// An operation on a socket failed.
    #[error("socket {address}: {source}")]
    Socket {
        /// Address that the socket was to be bound or connected to.
        address: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
}
