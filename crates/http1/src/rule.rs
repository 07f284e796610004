//! Rules that a message may break.

/// Rule that a message breaks. The text is the reason in log lines, and the name in kebab case is the
/// value of a metric label.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, thiserror::Error, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Rule {
    /// The first line is not a status line or request line.
    #[error("its first line is not valid")]
    StartLine,
    /// The status is not one that the reader expects.
    #[error("its status is not one of an answer")]
    Status,
    /// A line of the head is not a field with a valid name.
    #[error("a line of its head is not a field")]
    FieldLine,
    /// The value of a field holds bytes that no value may hold.
    #[error("the value of a field is not valid")]
    FieldValue,
    /// A line does not end with a carriage return and a line feed.
    #[error("a line does not end with CR LF")]
    LineEnd,
    /// The head, or the number of its fields, exceeds the limit.
    #[error("its head is larger than the limit")]
    HeadSize,
    /// `content-length` is not a number of digits, is too large, or is given more than once.
    #[error("its content-length is not one number")]
    ContentLength,
    /// `transfer-encoding` is not `chunked` alone, or the version knows no transfer encodings.
    #[error("its transfer-encoding is not chunked")]
    TransferEncoding,
    /// Both `content-length` and `transfer-encoding` are given.
    #[error("it has both a content-length and a transfer-encoding")]
    LengthAndEncoding,
    /// A length above 0 or chunks are given, and the status allows no content.
    #[error("it has content, which its status does not allow")]
    Content,
    /// Neither a length nor chunks are given, and the connection stays open behind the message.
    #[error("it tells no length and keeps the connection open")]
    NoLength,
    /// Neither a length nor chunks are given, and a field resembles one that tells of them.
    #[error("it tells no length, and a field resembles content-length or transfer-encoding")]
    FramingField,
    /// Neither a length nor chunks are given, and the body begins with a whole chunk.
    #[error("it tells no length, and its body is in chunks")]
    ChunksInBody,
    /// Neither a length nor chunks are given, and the body begins with fields of which one belongs to a
    /// head.
    #[error("it tells no length, and its body begins with fields of a head")]
    HeadInBody,
    /// The line before a chunk does not begin with its size, or is too long.
    #[error("the line before a chunk is not its size")]
    ChunkSize,
    /// The extensions in the line before a chunk are not valid.
    #[error("the extensions of a chunk are not valid")]
    ChunkExtension,
    /// Other bytes than a line end follow a chunk.
    #[error("a chunk does not end after its size")]
    ChunkEnd,
    /// A line after the last chunk is not a field, or the trailers exceed the limit.
    #[error("a line after its last chunk is not a field, or too long")]
    Trailer,
    /// Bytes that do not begin another message follow the end of the message.
    #[error("bytes follow its end that are no answer")]
    ExcessBytes,
    /// Two fields name different requests that the response belongs to.
    #[error("it names more than one request")]
    Correlation,
    /// More responses to other requests, or interim ones, precede the response than the limit allows.
    #[error("too many other responses precede it")]
    OtherResponses,
}
