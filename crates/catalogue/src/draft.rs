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

impl TryFrom<Draft> for Catalogue {
    type Error = Error;

    fn try_from(draft: Draft) -> Result<Self, Error> {
        let Draft { number, mut routes, mut services, accounts, limits } = draft;
        services.sort_by(|left, right| left.name.cmp(&right.name));
        check_services(&services)?;
        routes.sort_by(|left, right| {
            (&left.host, &left.prefix, &left.name).cmp(&(&right.host, &right.prefix, &right.name))
        });
        check_locations(&routes)?;
        routes.iter().try_for_each(|route| check_route(route, &services))?;
        let keys = sorted_keys(accounts.as_deref().unwrap_or_default())?;
        Ok(Self { number, routes, services, accounts, keys, limits })
    }
}

/// Fails if two services have the same name. `services` must be sorted by name.
fn check_services(services: &[Service]) -> Result<(), Error> {
    match services.windows(2).find(|pair| pair[0].name == pair[1].name) {
        Some(pair) => Err(Error::DuplicateService { service: pair[0].name.clone() }),
        None => Ok(()),
    }
}

/// Fails if two routes have the same host and prefix. `routes` must be sorted by host and prefix.
fn check_locations(routes: &[Route]) -> Result<(), Error> {
    let has_same_location =
        |pair: &&[Route]| pair[0].host == pair[1].host && pair[0].prefix == pair[1].prefix;
    match routes.windows(2).find(has_same_location) {
        Some(pair) => Err(Error::DuplicateRoute {
            first: pair[0].name.clone(),
            second: pair[1].name.clone(),
            host: pair[0].host.clone(),
            prefix: pair[0].prefix.clone(),
        }),
        None => Ok(()),
    }
}

/// Fails if a setting of `route` is invalid. `services` must be sorted by name.
fn check_route(route: &Route, services: &[Service]) -> Result<(), Error> {
    let name = route.name.clone();
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(Error::InvalidPrefix { route: name, prefix: route.prefix.clone() });
    }
    if route.timeout.is_zero() {
        return Err(Error::ZeroTimeout { route: name });
    }
    let is_unknown =
        |name: &ServiceName| services.binary_search_by(|service| service.name.cmp(name)).is_err();
    if let Some(target) = route.targets.iter().find(|target| is_unknown(&target.service)) {
        return Err(Error::UnknownService { route: name, service: target.service.clone() });
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        return Err(Error::ZeroTotalWeight { route: name });
    }
    Ok(())
}

/// Returns the API keys of all accounts, sorted by text. Fails if two accounts have the same key.
fn sorted_keys(accounts: &[Account]) -> Result<Vec<ApiKey>, Error> {
    let mut keys = Vec::new();
    for (owner, account) in accounts.iter().enumerate() {
        let mut texts = account.keys.clone();
        texts.sort();
        texts.dedup();
        keys.extend(texts.into_iter().map(|text| ApiKey { text, owner }));
    }
    keys.sort_by(|left, right| (&left.text, left.owner).cmp(&(&right.text, right.owner)));
    match keys.windows(2).find(|pair| pair[0].text == pair[1].text) {
        Some(pair) => Err(Error::SharedKey {
            first: accounts[pair[0].owner].name.to_string(),
            second: accounts[pair[1].owner].name.to_string(),
        }),
        None => Ok(keys),
    }
}
