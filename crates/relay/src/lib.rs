//! Instances of a seeded fleet whose entry instances choose upstreams independently.
//!
//! Control instances receive announcements of upstreams and numbered catalogues. Entry instances
//! follow the control instances and forward the requests of callers byte by byte. The traits of an
//! [`Interface`] define the protocols of callers, upstreams and operators and the format of
//! documents.

mod control;
mod endpoints;
mod error;
mod feed;
mod forwarder;
mod interface;
mod root;
mod run;
mod shared_state;

pub use error::Error;
pub use interface::{
    AttemptMetadata, CallerProtocol, ControlProtocol, ControlRequest, DocumentFormat, Interface,
    Prompt, PromptPart, RequestMetadata, ResponseMetadata, UpstreamProtocol,
};
pub use run::{Bound, SettingsSource, run};
