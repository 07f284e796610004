//! Frames between instances: codec, authentication and transport.
//!
//! A frame carries one message of one [`Slice`]. Over TCP, a handshake proves the fleet secret in
//! both directions and derives a session key, under which every frame is authenticated in order.
//! Over UDP, every datagram carries its sender, a sequence number for the replay window, and a
//! tag under the fleet secret. The transport is the [`Hub`] actor.

mod codec;
mod datagram;
mod error;
mod hub;
mod incoming;
mod keyring;
mod link;
mod replay;
mod run;
mod session;
mod slice;
mod stream;
mod traffic;

pub use codec::{decode, encode};
pub use datagram::Datagram;
pub use error::Error;
pub use hub::{Delivery, Hub, Identity, Outgoing, Peer, Sockets};
pub use keyring::{Keyring, Tag};
pub use replay::Window;
pub use run::Run;
pub use session::{Dialler, Hello, Listener, Session, Welcome};
pub use slice::{Slice, Transport};
pub use stream::Frames;
pub use traffic::{Count, Traffic};
