//! Instances of a seeded fleet whose entry instances choose upstreams by themselves.
//!
//! Control instances take announcements of upstreams and numbered catalogues; entry instances
//! follow them, and forward callers' requests byte by byte. How callers, upstreams, operators and
//! documents speak is behind the traits of an [`Interface`].

mod control;
mod error;
mod feed;
mod forwarder;
mod interface;
mod pages;
mod root;
mod run;

pub use error::Error;
pub use interface::{
    Answer, Ask, Callers, Control, Documents, Interface, Leg, Order, Part, Prompt, Upstreams,
};
pub use run::{Bound, Source, run};
