//! What the head of a message says about the length of its body, unchecked.

/// Version of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Version {
    /// HTTP/1.0, which has no transfer encodings.
    Http10,
    /// HTTP/1.1.
    Http11,
}

/// Values of the fields of one name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Declared<'a> {
    Absent,
    Once(&'a str),
    Repeated,
}

impl<'a> Declared<'a> {
    fn add(&mut self, value: &'a str) {
        *self = match self {
            Self::Absent => Self::Once(value),
            Self::Once(_) | Self::Repeated => Self::Repeated,
        };
    }
}

/// Fields of a head that tell where the body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Declaration<'a> {
    pub(crate) version: Version,
    pub(crate) length: Declared<'a>,
    pub(crate) encoding: Declared<'a>,
}

impl<'a> Declaration<'a> {
    /// Collects the declaration from the names and values of all `fields`. The names are in lower
    /// case, and the values have no blanks around them.
    pub fn new<I>(version: Version, fields: I) -> Self
    where
        I: IntoIterator<Item = (&'a str, &'a str)>,
    {
        let mut declaration =
            Self { version, length: Declared::Absent, encoding: Declared::Absent };
        for (name, value) in fields {
            match name {
                "content-length" => declaration.length.add(value),
                "transfer-encoding" => declaration.encoding.add(value),
                _ => {}
            }
        }
        declaration
    }
}
