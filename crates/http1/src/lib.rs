//! Rules of HTTP/1.1 that decide where a message ends (RFC 9112, sections 2.2, 5, 6 and 7.1).
//!
//! A [`Framing`] is decided once from the [`Declaration`] of a head, and every reader of the message
//! uses it. Grammar is checked to the letter: a line that breaks a [`Rule`] may be a damaged one that
//! told of another length.

mod chunks;
mod cursor;
mod declaration;
mod field;
mod framing;
mod head;
mod length;
mod opening;
mod resemblance;
mod rule;

pub use chunks::{Bounds, Chunks, Step};
pub use declaration::{Declaration, Version};
pub use framing::{Framing, allows_content};
pub use head::check_line_ends;
pub use length::Length;
pub use opening::{Finding, Opening};
pub use resemblance::resembles_framing;
pub use rule::Rule;
