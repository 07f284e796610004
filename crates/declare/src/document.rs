//! Declarations as a sorted list of items, the form in which revisions are compared and sent.

use serde::{Deserialize, Serialize};

use crate::{Change, Declarations, Error};

const MARK_BYTES: usize = 16;

/// The list that an item stands in.
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
    /// Kinds of work.
    #[strum(serialize = "kind of work")]
    Kind,
    /// Services.
    #[strum(serialize = "service")]
    Service,
    /// Client accounts.
    #[strum(serialize = "client account")]
    ClientAccount,
    /// Drains of upstreams.
    #[strum(serialize = "drain")]
    Drain,
    /// Models that engines are to load.
    #[strum(serialize = "rollout")]
    Rollout,
    /// Roles that engines are to have.
    #[strum(serialize = "role change")]
    RoleChange,
}

/// One declared thing.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Item {
    /// The list that it stands in.
    pub section: Section,
    /// Its name, unique in the list.
    pub name: String,
    /// It as JSON.
    pub text: String,
}

/// Hash of a document; equal for equal documents.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Mark([u8; MARK_BYTES]);

impl Mark {
    /// The hash of `parts` in their order.
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

    /// The hash's bytes.
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
    /// The items in their order.
    pub fn items(&self) -> &[Item] {
        &self.items
    }

    /// The JSON of the item `name` in `section`.
    pub fn get(&self, section: Section, name: &str) -> Option<&str> {
        let index = self.find(section, name).ok()?;
        Some(self.items[index].text.as_str())
    }

    /// The hash of the whole document.
    pub fn mark(&self) -> Mark {
        let sections = self.items.iter().map(|item| [item.section as u8]);
        let sections: Vec<[u8; 1]> = sections.collect();
        let parts = self.items.iter().zip(&sections).flat_map(|(item, section)| {
            [section.as_slice(), item.name.as_bytes(), item.text.as_bytes()]
        });
        Mark::of(parts)
    }

    /// The changes that lead from this document to `other`.
    pub fn changes_to(&self, other: &Self) -> Vec<Change> {
        let gone_or_changed = self.items.iter().filter_map(|item| {
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
        let mut changes: Vec<Change> = gone_or_changed.chain(added).collect();
        changes
            .sort_by(|left, right| (left.section, &left.name).cmp(&(right.section, &right.name)));
        changes
    }

    /// Makes `changes`; false, with nothing changed, when one does not fit the document.
    pub fn apply(&mut self, changes: &[Change]) -> bool {
        let fits = changes
            .iter()
            .all(|change| self.get(change.section, &change.name) == change.before.as_deref());
        if fits {
            for change in changes {
                self.set(change.section, &change.name, change.after.as_deref());
            }
        }
        fits
    }

    /// Takes `changes` back; false, with nothing changed, when one does not fit the document.
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

fn item<T>(section: Section, name: String, value: &T) -> Result<Item, Error>
where
    T: Serialize,
{
    let text = serde_json::to_string(value).map_err(|source| Error::Item {
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
            .map(|kind| item(Section::Kind, kind.name.to_string(), kind))
            .chain(services.map(|one| item(Section::Service, one.name.to_string(), one)))
            .chain(accounts.map(|one| item(Section::ClientAccount, one.name.to_string(), one)))
            .chain(drains.map(|one| item(Section::Drain, one.to_string(), one)))
            .chain(rollouts.map(|one| item(Section::Rollout, one.model.to_string(), one)))
            .chain(roles.map(|one| item(Section::RoleChange, one.role.clone(), one)))
            .collect::<Result<Vec<Item>, Error>>()?;
        items.sort();
        Ok(Self { items })
    }
}

fn read<'a, T>(item: &'a Item) -> Result<T, Error>
where
    T: Deserialize<'a>,
{
    serde_json::from_str(&item.text).map_err(|source| Error::Item {
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
                Section::Kind => declarations.kinds.push(read(item)?),
                Section::Service => declarations.services.push(read(item)?),
                Section::ClientAccount => declarations.client_accounts.push(read(item)?),
                Section::Drain => declarations.drains.push(read(item)?),
                Section::Rollout => declarations.rollouts.push(read(item)?),
                Section::RoleChange => declarations.role_changes.push(read(item)?),
            }
        }
        declarations.checked()
    }
}
