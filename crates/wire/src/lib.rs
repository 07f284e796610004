//! Frames between instances: codec, authentication and transport.
//!
//! A frame carries one message of one [`Slice`]. Over TCP, a handshake proves to each side that
//! the other side knows the fleet secret and derives a session key, which authenticates every
//! frame and the order of the frames. Over UDP, every datagram carries its sender, a sequence
//! number for the replay window, and an authentication tag under the fleet secret. The [`Hub`]
//! actor implements the transport.

mod codec;
mod datagram;
mod error;
mod frame_buffer;
mod hub;
mod incoming_connection;
mod keyring;
mod outgoing_connection;
mod replay;
mod run;
mod session;
mod slice;
mod traffic;

pub use codec::{decode, encode};
pub use datagram::Datagram;
pub use error::Error;
pub use frame_buffer::FrameBuffer;
pub use hub::{Delivery, Hub, Identity, Outgoing, Peer, Sockets};
pub use keyring::{Keyring, Tag};
pub use replay::ReplayWindow;
pub use run::Run;
pub use session::{Hello, Initiator, Responder, Session, Welcome};
pub use slice::{Slice, Transport};
pub use traffic::{Count, Traffic};
