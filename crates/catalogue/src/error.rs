//! Why a catalogue is refused.

use names::Service;

/// What is wrong with a draft.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A route names a service that does not exist.
    #[error("route \"{route}\" leads to service \"{service}\", which does not exist")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: Service,
    },
    /// Two routes have the same host and prefix.
    #[error("routes \"{first}\" and \"{second}\" both serve \"{host}{prefix}\"")]
    SamePlace {
        /// One route.
        first: String,
        /// The other route.
        second: String,
        /// Their host.
        host: String,
        /// Their prefix.
        prefix: String,
    },
    /// The weights of a route's services add up to 0.
    #[error("the weights of route \"{route}\" add up to 0; help: give a service a weight above 0")]
    NoWeight {
        /// The route.
        route: String,
    },
    /// A route gives its requests no time.
    #[error("the timeout of route \"{route}\" is 0; help: give it 1 ms or more")]
    NoTimeout {
        /// The route.
        route: String,
    },
    /// A prefix does not begin and end with a slash.
    #[error("prefix \"{prefix}\" of route \"{route}\" does not begin and end with a slash")]
    Prefix {
        /// The route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// Two client accounts hold the same key.
    #[error("client accounts \"{first}\" and \"{second}\" hold the same API key")]
    SharedKey {
        /// One account.
        first: String,
        /// The other account.
        second: String,
    },
    /// Two services have the same name.
    #[error("service \"{service}\" is declared twice")]
    RepeatedService {
        /// The service.
        service: Service,
    },
}
