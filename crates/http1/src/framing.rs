//! Where the body of a message ends.

use crate::declaration::Declared;
use crate::{Declaration, Length, Rule, Version};

/// Where the body of a message ends, as its head tells. A response without a body, such as one to a
/// `HEAD` request, has the framing that its body would have had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// After this number of bytes.
    Length(Length),
    /// With the last chunk.
    Chunks,
    /// The head tells nothing: a response ends with its connection, and a request has no body.
    UntilClose,
}

impl Framing {
    /// Returns the number of bytes of the body, if the head tells it.
    pub fn length(self) -> Option<u64> {
        match self {
            Self::Length(length) => Some(length.0),
            Self::Chunks | Self::UntilClose => None,
        }
    }

    /// Returns whether the end of the body can be distinguished from a broken connection.
    pub fn is_delimited(self) -> bool {
        self != Self::UntilClose
    }
}

/// Returns whether a response with `status` may have a body (RFC 9110, sections 8.6, 15.3.6 and 15.4.5).
pub fn allows_content(status: u16) -> bool {
    !matches!(status, 100..=199 | 204 | 205 | 304)
}

impl TryFrom<Declaration<'_>> for Framing {
    type Error = Rule;

    /// Rejects every declaration that two readers could understand differently. RFC 9112 would let
    /// `transfer-encoding` override `content-length`, and asks to handle such a message as an error.
    fn try_from(declaration: Declaration<'_>) -> Result<Self, Rule> {
        match (declaration.encoding, declaration.length) {
            (Declared::Absent, Declared::Absent) => Ok(Self::UntilClose),
            (Declared::Absent, Declared::Once(text)) => text.parse().map(Self::Length),
            (Declared::Absent, Declared::Repeated) => Err(Rule::ContentLength),
            (_, Declared::Once(_) | Declared::Repeated) => Err(Rule::LengthAndEncoding),
            (Declared::Once(text), Declared::Absent)
                if declaration.version == Version::Http11
                    && text.eq_ignore_ascii_case("chunked") =>
            {
                Ok(Self::Chunks)
            }
            (Declared::Once(_) | Declared::Repeated, Declared::Absent) => {
                Err(Rule::TransferEncoding)
            }
        }
    }
}
