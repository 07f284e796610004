//! Declarations as a sorted list of items, the form in which revisions are compared and sent.

use serde::{Deserialize, Serialize};

use crate::{Change, Declarations, Error};

/// Length of a content hash, in bytes.
const MARK_BYTES: usize = 16;

/// Section of the declarations that an item belongs to.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
)]
pub enum Section {
    /// Kinds of work, which set priority and deadline.
    #[strum(serialize = "kind of work")]
    Kind,
    /// Services that callers address.
    #[strum(serialize = "service")]
    Service,
    /// Client accounts with their API keys.
    #[strum(serialize = "client account")]
    ClientAccount,
    /// Drains, which keep new work from upstreams.
    #[strum(serialize = "drain")]
    Drain,
    /// Rollouts, which load or unload models on engines.
    #[strum(serialize = "rollout")]
    Rollout,
    /// Changes of the role of engines.
    #[strum(serialize = "role change")]
    RoleChange,
}

/// One item of the declarations.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Item {
    /// Section of the item.
    pub section: Section,
    /// Name of the item, unique in its section.
    pub name: String,
    /// JSON of the item.
    pub text: String,
}

/// Truncated BLAKE3 hash of a document. Equal documents have equal hashes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Mark([u8; MARK_BYTES]);

impl Mark {
    /// Hashes `parts` in their order. Each part is prefixed with its length.
    pub fn of<'a, I>(parts: I) -> Self
    where
        I: IntoIterator<Item = &'a [u8]>,
    {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; MARK_BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..MARK_BYTES]);
        Self(bytes)
    }

    /// Returns the bytes of the hash.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// All items of one revision, sorted by section and name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    items: Vec<Item>,
}

impl Document {
    /// Returns the items, sorted by section and name.
    pub fn items(&self) -> &[Item] {
        &self.items
    }

    /// Returns the JSON of the item `name` in `section`.
    pub fn get(&self, section: Section, name: &str) -> Option<&str> {
        let index = self.find(section, name).ok()?;
        Some(self.items[index].text.as_str())
    }

    /// Returns the hash of the complete document.
    pub fn mark(&self) -> Mark {
        let sections = self.items.iter().map(|item| [item.section as u8]);
        let sections: Vec<[u8; 1]> = sections.collect();
        let parts = self.items.iter().zip(&sections).flat_map(|(item, section)| {
            [section.as_slice(), item.name.as_bytes(), item.text.as_bytes()]
        });
        Mark::of(parts)
    }

    /// Returns the changes from this document to `other`, sorted by section and name.
    pub fn changes_to(&self, other: &Self) -> Vec<Change> {
        let removed_or_changed = self.items.iter().filter_map(|item| {
            let after = other.get(item.section, &item.name);
            let is_same = after == Some(item.text.as_str());
            (!is_same).then(|| Change {
                section: item.section,
                name: item.name.clone(),
                before: Some(item.text.clone()),
                after: after.map(str::to_string),
            })
        });
        let added = other.items.iter().filter(|item| self.find(item.section, &item.name).is_err());
        let added = added.map(|item| Change {
            section: item.section,
            name: item.name.clone(),
            before: None,
            after: Some(item.text.clone()),
        });
        let mut changes: Vec<Change> = removed_or_changed.chain(added).collect();
        changes
            .sort_by(|left, right| (left.section, &left.name).cmp(&(right.section, &right.name)));
        changes
    }

    /// Applies `changes`. Returns false and leaves the document unchanged if a change does not
    /// match the document.
    pub fn apply(&mut self, changes: &[Change]) -> bool {
        let all_match = changes
            .iter()
            .all(|change| self.get(change.section, &change.name) == change.before.as_deref());
        if all_match {
            for change in changes {
                self.set(change.section, &change.name, change.after.as_deref());
            }
        }
        all_match
    }

    /// Reverts `changes`. Returns false and leaves the document unchanged if a change does not
    /// match the document.
    pub fn revert(&mut self, changes: &[Change]) -> bool {
        let reverted: Vec<Change> = changes.iter().map(Change::reverted).collect();
        self.apply(&reverted)
    }

    fn find(&self, section: Section, name: &str) -> Result<usize, usize> {
        self.items.binary_search_by(|item| (item.section, item.name.as_str()).cmp(&(section, name)))
    }

    fn set(&mut self, section: Section, name: &str, text: Option<&str>) {
        match (self.find(section, name), text) {
            (Ok(index), Some(text)) => self.items[index].text = text.to_string(),
            (Ok(index), None) => {
                self.items.remove(index);
            }
            (Err(index), Some(text)) => {
                let item = Item { section, name: name.to_string(), text: text.to_string() };
                self.items.insert(index, item);
            }
            (Err(_), None) => {}
        }
    }
}

fn encode<T>(section: Section, name: String, value: &T) -> Result<Item, Error>
where
    T: Serialize,
{
    let text = serde_json::to_string(value).map_err(|source| Error::InvalidItem {
        section,
        name: name.clone(),
        source,
    })?;
    Ok(Item { section, name, text })
}

impl TryFrom<&Declarations> for Document {
    type Error = Error;

    fn try_from(declarations: &Declarations) -> Result<Self, Error> {
        let kinds = declarations.kinds.iter();
        let services = declarations.services.iter();
        let accounts = declarations.client_accounts.iter();
        let drains = declarations.drains.iter();
        let rollouts = declarations.rollouts.iter();
        let roles = declarations.role_changes.iter();
        let mut items = kinds
            .map(|item| encode(Section::Kind, item.name.to_string(), item))
            .chain(services.map(|item| encode(Section::Service, item.name.to_string(), item)))
            .chain(accounts.map(|item| encode(Section::ClientAccount, item.name.to_string(), item)))
            .chain(drains.map(|item| encode(Section::Drain, item.to_string(), item)))
            .chain(rollouts.map(|item| encode(Section::Rollout, item.model.to_string(), item)))
            .chain(roles.map(|item| encode(Section::RoleChange, item.role.clone(), item)))
            .collect::<Result<Vec<Item>, Error>>()?;
        items.sort();
        Ok(Self { items })
    }
}

fn decode<'a, T>(item: &'a Item) -> Result<T, Error>
where
    T: Deserialize<'a>,
{
    serde_json::from_str(&item.text).map_err(|source| Error::InvalidItem {
        section: item.section,
        name: item.name.clone(),
        source,
    })
}

impl TryFrom<&Document> for Declarations {
    type Error = Error;

    fn try_from(document: &Document) -> Result<Self, Error> {
        let mut declarations = Self::default();
        for item in &document.items {
            match item.section {
                Section::Kind => declarations.kinds.push(decode(item)?),
                Section::Service => declarations.services.push(decode(item)?),
                Section::ClientAccount => declarations.client_accounts.push(decode(item)?),
                Section::Drain => declarations.drains.push(decode(item)?),
                Section::Rollout => declarations.rollouts.push(decode(item)?),
                Section::RoleChange => declarations.role_changes.push(decode(item)?),
            }
        }
        declarations.checked()
    }
}
