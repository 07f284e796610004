//! Validation errors of drafts.

use names::Service;

/// Error from the validation of a draft.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A route refers to a service that is not declared.
    #[error("route \"{route}\" leads to service \"{service}\", which does not exist")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service that is not declared.
        service: Service,
    },
    /// Two routes have the same host and prefix.
    #[error("routes \"{first}\" and \"{second}\" both serve \"{host}{prefix}\"")]
    DuplicateRoute {
        /// Name of one route.
        first: String,
        /// Name of the other route.
        second: String,
        /// Host of both routes.
        host: String,
        /// Path prefix of both routes.
        prefix: String,
    },
    /// The weights of the targets of a route add up to 0.
    #[error("the weights of route \"{route}\" add up to 0; help: give a service a weight above 0")]
    ZeroTotalWeight {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is 0.
    #[error("the timeout of route \"{route}\" is 0; help: give it 1 ms or more")]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// A path prefix does not begin and end with a slash.
    #[error("prefix \"{prefix}\" of route \"{route}\" does not begin and end with a slash")]
    InvalidPrefix {
        /// Name of the route.
        route: String,
        /// The invalid prefix.
        prefix: String,
    },
    /// Two client accounts have the same API key.
    #[error("client accounts \"{first}\" and \"{second}\" hold the same API key")]
    SharedKey {
        /// Name of one account.
        first: String,
        /// Name of the other account.
        second: String,
    },
    /// Two services have the same name.
    #[error("service \"{service}\" is declared twice")]
    DuplicateService {
        /// Name of the service.
        service: Service,
    },
}
