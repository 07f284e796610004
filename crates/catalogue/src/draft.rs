//! Unvalidated drafts and the validated catalogue that is built from a draft.

use names::Service as ServiceName;

use crate::{Account, Caller, Error, Limits, Number, Route, Service};

/// Content of a document before validation.
#[derive(Debug, Clone)]
pub struct Draft {
    /// Version number of the document.
    pub number: Number,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services in any order.
    pub services: Vec<Service>,
    /// Client accounts; `None` if requests need no account.
    pub accounts: Option<Vec<Account>>,
    /// Limits on the requests of callers.
    pub limits: Limits,
}

/// An API key and the account that owns it.
struct ApiKey {
    text: String,
    /// Index of the owner in `Catalogue::accounts`.
    owner: usize,
}

/// A validated document with sorted indexes for the lookups of requests.
pub struct Catalogue {
    number: Number,
    /// Sorted by host and prefix.
    routes: Vec<Route>,
    /// Sorted by name.
    services: Vec<Service>,
    accounts: Option<Vec<Account>>,
    /// Sorted by text.
    keys: Vec<ApiKey>,
    limits: Limits,
}

impl Catalogue {
    /// Returns the version number of the document.
    pub fn number(&self) -> Number {
        self.number
    }

    /// Returns all routes, sorted by host and prefix.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns all services, sorted by name.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns the limits on the requests of callers.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the client accounts; `None` if requests need no account.
    pub fn accounts(&self) -> Option<&[Account]> {
        self.accounts.as_deref()
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        let position = self.services.binary_search_by(|service| service.name.cmp(name));
        position.ok().map(|index| &self.services[index])
    }

    /// Returns the route of `host` with the longest prefix that matches the start of `path`.
    ///
    /// `host` must be in lower case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let first = self.routes.partition_point(|route| route.host.as_str() < host);
        let host_routes = self.routes[first..].iter().take_while(|route| route.host == host);
        host_routes
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Looks up the account that owns `key`.
    pub fn caller(&self, key: Option<&str>) -> Caller<'_> {
        let Some(accounts) = &self.accounts else {
            return Caller::Anyone;
        };
        let Some(key) = key else {
            return Caller::Unknown;
        };
        match self.keys.binary_search_by(|api_key| api_key.text.as_str().cmp(key)) {
            Ok(index) => Caller::Known(&accounts[self.keys[index].owner]),
            Err(_) => Caller::Unknown,
        }
    }
}

impl Draft {
    /// Returns all errors in the draft, in the order in which they are found. A draft without errors
    /// is a valid catalogue.
    pub fn errors(&self) -> Vec<Error> {
        let mut sorted = self.clone();
        sorted.sort();
        sorted.sorted_errors()
    }

    fn sort(&mut self) {
        self.services.sort_by(|left, right| left.name.cmp(&right.name));
        self.routes.sort_by(|left, right| {
            (&left.host, &left.prefix, &left.name).cmp(&(&right.host, &right.prefix, &right.name))
        });
    }

    /// Returns all errors in the draft, which must be sorted.
    fn sorted_errors(&self) -> Vec<Error> {
        let mut errors = duplicate_services(&self.services);
        errors.extend(duplicate_locations(&self.routes));
        errors.extend(self.routes.iter().flat_map(|route| route_errors(route, &self.services)));
        let keys = sorted_keys(self.accounts.as_deref().unwrap_or_default());
        errors.extend(shared_keys(&keys, self.accounts.as_deref().unwrap_or_default()));
        errors
    }
}

impl TryFrom<Draft> for Catalogue {
    type Error = Error;

    fn try_from(mut draft: Draft) -> Result<Self, Error> {
        draft.sort();
        if let Some(error) = draft.sorted_errors().into_iter().next() {
            return Err(error);
        }
        let Draft { number, routes, services, accounts, limits } = draft;
        let keys = sorted_keys(accounts.as_deref().unwrap_or_default());
        Ok(Self { number, routes, services, accounts, keys, limits })
    }
}

/// Returns an error for each pair of services with the same name. `services` must be sorted by name.
fn duplicate_services(services: &[Service]) -> Vec<Error> {
    let pairs = services.windows(2).filter(|pair| pair[0].name == pair[1].name);
    pairs.map(|pair| Error::DuplicateService { service: pair[0].name.clone() }).collect()
}

/// Returns an error for each pair of routes with the same host and prefix. `routes` must be sorted
/// by host and prefix.
fn duplicate_locations(routes: &[Route]) -> Vec<Error> {
    let has_same_location =
        |pair: &&[Route]| pair[0].host == pair[1].host && pair[0].prefix == pair[1].prefix;
    let pairs = routes.windows(2).filter(has_same_location);
    let error = |pair: &[Route]| Error::DuplicateRoute {
        first: pair[0].name.clone(),
        second: pair[1].name.clone(),
        host: pair[0].host.clone(),
        prefix: pair[0].prefix.clone(),
    };
    pairs.map(error).collect()
}

/// Returns the errors in the settings of `route`. `services` must be sorted by name.
fn route_errors(route: &Route, services: &[Service]) -> Vec<Error> {
    let name = || route.name.clone();
    let mut errors = Vec::new();
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        errors.push(Error::InvalidPrefix { route: name(), prefix: route.prefix.clone() });
    }
    if route.timeout.is_zero() {
        errors.push(Error::ZeroTimeout { route: name() });
    }
    let is_unknown =
        |name: &ServiceName| services.binary_search_by(|service| service.name.cmp(name)).is_err();
    let unknown = route.targets.iter().filter(|target| is_unknown(&target.service));
    errors.extend(
        unknown
            .map(|target| Error::UnknownService { route: name(), service: target.service.clone() }),
    );
    if route.targets.iter().all(|target| target.weight == 0) {
        errors.push(Error::ZeroTotalWeight { route: name() });
    }
    errors
}

/// Returns the API keys of all accounts, sorted by text and owner.
fn sorted_keys(accounts: &[Account]) -> Vec<ApiKey> {
    let mut keys = Vec::new();
    for (owner, account) in accounts.iter().enumerate() {
        let mut texts = account.keys.clone();
        texts.sort();
        texts.dedup();
        keys.extend(texts.into_iter().map(|text| ApiKey { text, owner }));
    }
    keys.sort_by(|left, right| (&left.text, left.owner).cmp(&(&right.text, right.owner)));
    keys
}

/// Returns an error for each pair of accounts that have a key in common. `keys` must be sorted.
fn shared_keys(keys: &[ApiKey], accounts: &[Account]) -> Vec<Error> {
    let pairs = keys.windows(2).filter(|pair| pair[0].text == pair[1].text);
    let error = |pair: &[ApiKey]| Error::SharedKey {
        first: accounts[pair[0].owner].name.to_string(),
        second: accounts[pair[1].owner].name.to_string(),
    };
    pairs.map(error).collect()
}
