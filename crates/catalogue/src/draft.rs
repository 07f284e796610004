//! Drafts, and the checked catalogue that is made of one.

use names::Service as ServiceName;

use crate::{Account, Caller, Error, Limits, Number, Route, Service};

/// What a document says, before it is checked.
#[derive(Debug, Clone)]
pub struct Draft {
    /// Its number.
    pub number: Number,
    /// Its routes.
    pub routes: Vec<Route>,
    /// Its services.
    pub services: Vec<Service>,
    /// Its client accounts; none if anyone may call.
    pub accounts: Option<Vec<Account>>,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

/// A key with the place of its holder.
struct Key {
    text: String,
    holder: usize,
}

/// What the fleet serves.
pub struct Catalogue {
    number: Number,
    /// Sorted by host and prefix.
    routes: Vec<Route>,
    /// Sorted by name.
    services: Vec<Service>,
    accounts: Option<Vec<Account>>,
    /// Sorted by text.
    keys: Vec<Key>,
    limits: Limits,
}

impl Catalogue {
    /// Its number.
    pub fn number(&self) -> Number {
        self.number
    }

    /// All routes, sorted by host and prefix.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// All services, sorted by name.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Bounds on what callers may send.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The service `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        let found = self.services.binary_search_by(|service| service.name.cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// The route of `host`, in lower case, with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let first = self.routes.partition_point(|route| route.host.as_str() < host);
        let of_host = self.routes[first..].iter().take_while(|route| route.host == host);
        of_host
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Who holds `key`.
    pub fn caller(&self, key: Option<&str>) -> Caller<'_> {
        let Some(accounts) = &self.accounts else {
            return Caller::Anyone;
        };
        let Some(key) = key else {
            return Caller::Unknown;
        };
        match self.keys.binary_search_by(|known| known.text.as_str().cmp(key)) {
            Ok(index) => Caller::Known(&accounts[self.keys[index].holder]),
            Err(_) => Caller::Unknown,
        }
    }
}

impl TryFrom<Draft> for Catalogue {
    type Error = Error;

    fn try_from(draft: Draft) -> Result<Self, Error> {
        let Draft { number, mut routes, mut services, accounts, limits } = draft;
        services.sort_by(|one, other| one.name.cmp(&other.name));
        check_services(&services)?;
        routes.sort_by(|one, other| {
            (&one.host, &one.prefix, &one.name).cmp(&(&other.host, &other.prefix, &other.name))
        });
        check_places(&routes)?;
        routes.iter().try_for_each(|route| check_route(route, &services))?;
        let keys = sorted_keys(accounts.as_deref().unwrap_or_default())?;
        Ok(Self { number, routes, services, accounts, keys, limits })
    }
}

fn check_services(services: &[Service]) -> Result<(), Error> {
    match services.windows(2).find(|pair| pair[0].name == pair[1].name) {
        Some(pair) => Err(Error::RepeatedService { service: pair[0].name.clone() }),
        None => Ok(()),
    }
}

fn check_places(routes: &[Route]) -> Result<(), Error> {
    let is_same =
        |pair: &&[Route]| pair[0].host == pair[1].host && pair[0].prefix == pair[1].prefix;
    match routes.windows(2).find(is_same) {
        Some(pair) => Err(Error::SamePlace {
            first: pair[0].name.clone(),
            second: pair[1].name.clone(),
            host: pair[0].host.clone(),
            prefix: pair[0].prefix.clone(),
        }),
        None => Ok(()),
    }
}

fn check_route(route: &Route, services: &[Service]) -> Result<(), Error> {
    let name = route.name.clone();
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(Error::Prefix { route: name, prefix: route.prefix.clone() });
    }
    if route.timeout.is_zero() {
        return Err(Error::NoTimeout { route: name });
    }
    let is_unknown =
        |service: &ServiceName| services.binary_search_by(|one| one.name.cmp(service)).is_err();
    if let Some(target) = route.targets.iter().find(|target| is_unknown(&target.service)) {
        return Err(Error::UnknownService { route: name, service: target.service.clone() });
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        return Err(Error::NoWeight { route: name });
    }
    Ok(())
}

fn sorted_keys(accounts: &[Account]) -> Result<Vec<Key>, Error> {
    let mut keys = Vec::new();
    for (holder, account) in accounts.iter().enumerate() {
        let mut texts = account.keys.clone();
        texts.sort();
        texts.dedup();
        keys.extend(texts.into_iter().map(|text| Key { text, holder }));
    }
    keys.sort_by(|one, other| (&one.text, one.holder).cmp(&(&other.text, other.holder)));
    match keys.windows(2).find(|pair| pair[0].text == pair[1].text) {
        Some(pair) => Err(Error::SharedKey {
            first: accounts[pair[0].holder].name.to_string(),
            second: accounts[pair[1].holder].name.to_string(),
        }),
        None => Ok(keys),
    }
}
