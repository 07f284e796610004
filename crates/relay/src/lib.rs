//! Instances of a seeded fleet whose entry instances choose upstreams by themselves.
//!
//! ControlProtocol instances take announcements of upstreams and numbered catalogues; entry instances
//! follow them, and forward callers' requests byte by byte. How callers, upstreams, operators and
//! documents speak is behind the traits of an [`Interface`].

mod control;
mod endpoints;
mod error;
mod feed;
mod forwarder;
mod interface;
mod root;
mod run;

pub use error::Error;
pub use interface::{
    AttemptMetadata, CallerProtocol, ControlProtocol, ControlRequest, DocumentFormat, Interface,
    Prompt, PromptPart, RequestMetadata, ResponseMetadata, UpstreamProtocol,
};
pub use run::{Bound, Source, run};
