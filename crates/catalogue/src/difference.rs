//! Differences between two catalogues, in words.

use std::collections::BTreeMap;
use std::fmt::{self, Debug};

use crate::{Account, Catalogue, Cold, Engine, Entry, Limits, Route, Service, Target};

/// An entry that two catalogues do not have in common. The text contains no API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// The entry.
    pub entry: Entry,
    /// Description of the difference, such as `added` or `timeout 1s -> 2s`.
    pub description: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.entry, self.description)
    }
}

/// Returns the differences from `before` to `after`, apart from the number of the document.
pub fn differences(before: &Catalogue, after: &Catalogue) -> Vec<Difference> {
    let mut differences = Vec::new();
    let limits = changed_limits(before.limits(), after.limits());
    differences.extend(changed(Entry::Limits, limits));
    differences.extend(compare(
        (before.routes(), after.routes()),
        |route| route.name.clone(),
        Entry::Route,
        changed_route,
    ));
    differences.extend(compare(
        (before.services(), after.services()),
        |service| service.name.clone(),
        Entry::Service,
        changed_service,
    ));
    differences.extend(changed(Entry::Accounts, changed_access(before, after)));
    differences.extend(compare(
        (before.accounts().unwrap_or_default(), after.accounts().unwrap_or_default()),
        |account| account.name.clone(),
        Entry::Account,
        changed_account,
    ));
    differences
}

/// Collects the fields that differ.
#[derive(Default)]
struct Fields {
    descriptions: Vec<String>,
}

impl Fields {
    /// Adds the field `name` if its values differ.
    fn compare<T>(&mut self, name: &str, before: &T, after: &T)
    where
        T: PartialEq + Debug,
    {
        self.compare_with(name, before, after, |value| format!("{value:?}"));
    }

    /// Adds the field `name` if its values differ. `format` formats a value.
    fn compare_with<T, F>(&mut self, name: &str, before: &T, after: &T, format: F)
    where
        T: PartialEq,
        F: Fn(&T) -> String,
    {
        if before != after {
            self.descriptions.push(format!("{name} {} -> {}", format(before), format(after)));
        }
    }
}

fn changed(entry: Entry, fields: Fields) -> Option<Difference> {
    let is_changed = !fields.descriptions.is_empty();
    is_changed.then(|| Difference { entry, description: fields.descriptions.join(", ") })
}

/// Compares two lists by the names of their items, which need not be unique.
fn compare<T, K, N, E, F>(
    (before, after): (&[T], &[T]),
    name: N,
    entry: E,
    changed_fields: F,
) -> Vec<Difference>
where
    T: PartialEq,
    K: Ord + Clone,
    N: Fn(&T) -> K,
    E: Fn(K) -> Entry,
    F: Fn(&T, &T) -> Fields,
{
    let mut groups: BTreeMap<K, (Vec<&T>, Vec<&T>)> = BTreeMap::new();
    for item in before {
        groups.entry(name(item)).or_default().0.push(item);
    }
    for item in after {
        groups.entry(name(item)).or_default().1.push(item);
    }
    let described = |description: &str, name: K| {
        Some(Difference { entry: entry(name), description: description.to_string() })
    };
    let differences = groups.into_iter().filter_map(|(name, (before, after))| {
        match (before.as_slice(), after.as_slice()) {
            ([], _) => described("added", name),
            (_, []) => described("removed", name),
            ([before], [after]) => changed(entry(name), changed_fields(before, after)),
            (before, after) if before == after => None,
            _ => described("changed", name),
        }
    });
    differences.collect()
}

fn changed_limits(before: &Limits, after: &Limits) -> Fields {
    let mut fields = Fields::default();
    fields.compare("head bytes", &before.head_bytes, &after.head_bytes);
    fields.compare("body bytes", &before.body_bytes, &after.body_bytes);
    fields.compare("receive", &before.receive, &after.receive);
    fields.compare("idle", &before.idle, &after.idle);
    fields
}

fn changed_route(before: &Route, after: &Route) -> Fields {
    let mut fields = Fields::default();
    fields.compare("host", &before.host, &after.host);
    fields.compare("prefix", &before.prefix, &after.prefix);
    fields.compare_with("repeat", &before.repeat, &after.repeat, ToString::to_string);
    fields.compare("streaming", &before.is_streaming, &after.is_streaming);
    fields.compare("timeout", &before.timeout, &after.timeout);
    fields.compare("objective", &before.objective, &after.objective);
    fields.compare("pause", &before.pause, &after.pause);
    fields.compare("rank", &before.rank, &after.rank);
    fields.compare_with("targets", &before.targets, &after.targets, |targets| {
        let target = |target: &Target| format!("{} ({})", target.service, target.weight);
        targets.iter().map(target).collect::<Vec<String>>().join(" + ")
    });
    fields.compare("attempts", &before.attempts, &after.attempts);
    fields.compare("anonymous", &before.is_anonymous, &after.is_anonymous);
    fields.compare("prompt", &before.has_prompt, &after.has_prompt);
    fields
}

fn changed_service(before: &Service, after: &Service) -> Fields {
    let mut fields = Fields::default();
    fields.compare("connections", &before.connections, &after.connections);
    fields.compare_with("engine", &before.engine, &after.engine, |engine| {
        engine.as_ref().map_or_else(|| "none".to_string(), engine_text)
    });
    fields.compare_with("cold", &before.cold, &after.cold, |cold| {
        cold.as_ref().map_or_else(|| "none".to_string(), cold_text)
    });
    fields
}

fn engine_text(engine: &Engine) -> String {
    let transfer = match &engine.transfer {
        Some(transfer) => format!(
            "transfer of {} bytes per token at {} bytes per second",
            transfer.token_bytes, transfer.bytes_per_second
        ),
        None => "no transfer".to_string(),
    };
    format!("({} slots, {} tokens, {transfer})", engine.slots, engine.memory_tokens)
}

fn cold_text(cold: &Cold) -> String {
    format!("({:?}, {} per second)", cold.duration, cold.per_second)
}

/// Compares whether requests need a client account at all.
fn changed_access(before: &Catalogue, after: &Catalogue) -> Fields {
    let mut fields = Fields::default();
    let is_needed = |catalogue: &Catalogue| catalogue.accounts().is_some();
    fields.compare("needed", &is_needed(before), &is_needed(after));
    fields
}

fn changed_account(before: &Account, after: &Account) -> Fields {
    let sorted_keys = |account: &Account| {
        let mut keys = account.keys.clone();
        keys.sort();
        keys.dedup();
        keys
    };
    let mut fields = Fields::default();
    fields.compare_with("rank", &before.rank, &after.rank, |rank| {
        rank.map_or_else(|| "of the route".to_string(), |rank| rank.to_string())
    });
    if sorted_keys(before) != sorted_keys(after) {
        fields.descriptions.push("keys changed".to_string());
    }
    fields
}
