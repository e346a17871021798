//! The edits of a release note, with their locations in the text.

use std::fmt::Display;
use std::time::Duration;

use super::model::{Account, Key, Route, Service, WeightedService};
use super::note::NoteError;
use super::{ACCOUNTS_MAX, KEYS_MAX, ROUTES_MAX, SERVICES_MAX};
use crate::ids::{AccountName, KeyDigest, KeyName, RouteName, ServiceName};
use crate::units::{Burst, ByteSize, Rate};

/// A location in the text of a note; both numbers start at 1 and are 0 in a decoded note.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Location {
    pub(super) line: usize,
    pub(super) column: usize,
}

impl Location {
    pub(super) fn error(self, message: impl Into<String>) -> NoteError {
        NoteError {
            line: self.line,
            column: self.column,
            message: message.into(),
        }
    }
}

/// A value with its location in the text of the note.
#[derive(Clone, Debug)]
pub(super) struct Located<T> {
    pub(super) value: T,
    pub(super) location: Location,
}

impl<T> Located<T> {
    /// Wraps a value from an encoded note, which has no locations.
    pub(super) fn without_location(value: T) -> Self {
        Located {
            value,
            location: Location::default(),
        }
    }
}

/// A kind of configuration item that notes add, change and withdraw by name.
pub(super) trait Item: Sized {
    /// The name, unique among items of this kind.
    type Name: Ord + Clone + Display;
    /// An addition or change of the item; absent fields of a change keep their value.
    type Edit;
    /// The name of the kind in error messages.
    const KIND: &'static str;
    /// Largest number of items of this kind in a configuration.
    const MAX: usize;

    fn name(&self) -> &Self::Name;
    /// Returns the name of the item that `edit` adds or changes.
    fn edited_name(edit: &Self::Edit) -> &Located<Self::Name>;
    /// Creates the item, or returns `None` if a field is missing.
    fn create(edit: &Self::Edit) -> Option<Self>;
    /// Returns the item after a change.
    fn amend(&self, edit: &Self::Edit) -> Self;
    /// Returns an edit that adds the item as it is.
    fn to_edit(&self) -> Self::Edit;
}

/// The edits of a note to items of one kind, each list sorted by name.
#[derive(Debug)]
pub(super) struct Edits<T: Item> {
    pub(super) added: Vec<T::Edit>,
    pub(super) changed: Vec<T::Edit>,
    pub(super) withdrawn: Vec<Located<T::Name>>,
}

impl<T: Item> Default for Edits<T> {
    fn default() -> Self {
        Edits {
            added: Vec::new(),
            changed: Vec::new(),
            withdrawn: Vec::new(),
        }
    }
}

impl<T: Item> Edits<T> {
    /// Sorts the lists, so that the encoding does not depend on the order in the text.
    pub(super) fn sort(&mut self) {
        let by_name =
            |a: &T::Edit, b: &T::Edit| T::edited_name(a).value.cmp(&T::edited_name(b).value);
        self.added.sort_by(by_name);
        self.changed.sort_by(by_name);
        self.withdrawn.sort_by(|a, b| a.value.cmp(&b.value));
    }

    /// Reports every name that the note contains more than once for this kind.
    pub(super) fn check_names(&self, errors: &mut Vec<NoteError>) {
        let edits = self.added.iter().chain(&self.changed);
        let mut names: Vec<_> = edits.map(T::edited_name).chain(&self.withdrawn).collect();
        names.sort_by(|a, b| a.value.cmp(&b.value));
        for pair in names.windows(2).filter(|p| p[0].value == p[1].value) {
            let (first, second) = in_text_order(pair[0].location, pair[1].location);
            errors.push(second.error(format!(
                "{} {:?} is already named in line {}",
                T::KIND,
                pair[0].value.to_string(),
                first.line
            )));
        }
    }
}

fn in_text_order(a: Location, b: Location) -> (Location, Location) {
    match (a.line, a.column) <= (b.line, b.column) {
        true => (a, b),
        false => (b, a),
    }
}

#[derive(Debug)]
pub(super) struct AccountEdit {
    pub(super) name: Located<AccountName>,
    pub(super) rate: Option<Rate>,
    pub(super) burst: Option<Burst>,
    pub(super) priority: Option<u8>,
}

#[derive(Debug)]
pub(super) struct KeyEdit {
    pub(super) name: Located<KeyName>,
    pub(super) account: Option<Located<AccountName>>,
    pub(super) digest: Option<Located<KeyDigest>>,
}

#[derive(Debug)]
pub(super) struct ServiceEdit {
    pub(super) name: Located<ServiceName>,
    pub(super) floor: Option<u8>,
    pub(super) open_rate: Option<Rate>,
    pub(super) open_burst: Option<Burst>,
}

#[derive(Debug)]
pub(super) struct RouteEdit {
    pub(super) name: Located<RouteName>,
    pub(super) path: Option<Located<String>>,
    pub(super) methods: Option<Vec<String>>,
    pub(super) service: Option<Located<ServiceName>>,
    pub(super) open: Option<bool>,
    pub(super) deadline: Option<Duration>,
    pub(super) body_max: Option<ByteSize>,
    pub(super) idempotent: Option<Vec<String>>,
    pub(super) host: Option<String>,
    pub(super) split: Option<Vec<Located<WeightedService>>>,
    pub(super) attempts: Option<u32>,
    pub(super) priority: Option<u8>,
    pub(super) objective: Option<Duration>,
}

impl RouteEdit {
    fn shares(&self) -> Option<Vec<WeightedService>> {
        let split = self.split.as_ref()?;
        Some(split.iter().map(|s| s.value.clone()).collect())
    }
}

fn value_or<T: Clone>(edit: &Option<Located<T>>, old: &T) -> T {
    edit.as_ref().map_or(old, |e| &e.value).clone()
}

impl Item for Account {
    type Name = AccountName;
    type Edit = AccountEdit;
    const KIND: &'static str = "account";
    const MAX: usize = ACCOUNTS_MAX;

    fn name(&self) -> &AccountName {
        &self.name
    }

    fn edited_name(edit: &AccountEdit) -> &Located<AccountName> {
        &edit.name
    }

    fn create(edit: &AccountEdit) -> Option<Self> {
        Some(Account {
            name: edit.name.value.clone(),
            rate: edit.rate?,
            burst: edit.burst?,
            priority: edit.priority,
        })
    }

    fn amend(&self, edit: &AccountEdit) -> Self {
        Account {
            name: self.name.clone(),
            rate: edit.rate.unwrap_or(self.rate),
            burst: edit.burst.unwrap_or(self.burst),
            priority: edit.priority.or(self.priority),
        }
    }

    fn to_edit(&self) -> AccountEdit {
        AccountEdit {
            name: Located::without_location(self.name.clone()),
            rate: Some(self.rate),
            burst: Some(self.burst),
            priority: self.priority,
        }
    }
}

impl Item for Key {
    type Name = KeyName;
    type Edit = KeyEdit;
    const KIND: &'static str = "key";
    const MAX: usize = KEYS_MAX;

    fn name(&self) -> &KeyName {
        &self.name
    }

    fn edited_name(edit: &KeyEdit) -> &Located<KeyName> {
        &edit.name
    }

    fn create(edit: &KeyEdit) -> Option<Self> {
        Some(Key {
            name: edit.name.value.clone(),
            account: edit.account.as_ref()?.value.clone(),
            digest: edit.digest.as_ref()?.value,
        })
    }

    fn amend(&self, edit: &KeyEdit) -> Self {
        Key {
            name: self.name.clone(),
            account: value_or(&edit.account, &self.account),
            digest: value_or(&edit.digest, &self.digest),
        }
    }

    fn to_edit(&self) -> KeyEdit {
        KeyEdit {
            name: Located::without_location(self.name.clone()),
            account: Some(Located::without_location(self.account.clone())),
            digest: Some(Located::without_location(self.digest)),
        }
    }
}

impl Item for Service {
    type Name = ServiceName;
    type Edit = ServiceEdit;
    const KIND: &'static str = "service";
    const MAX: usize = SERVICES_MAX;

    fn name(&self) -> &ServiceName {
        &self.name
    }

    fn edited_name(edit: &ServiceEdit) -> &Located<ServiceName> {
        &edit.name
    }

    fn create(edit: &ServiceEdit) -> Option<Self> {
        Some(Service {
            name: edit.name.value.clone(),
            floor: edit.floor?,
            open_rate: edit.open_rate?,
            open_burst: edit.open_burst?,
        })
    }

    fn amend(&self, edit: &ServiceEdit) -> Self {
        Service {
            name: self.name.clone(),
            floor: edit.floor.unwrap_or(self.floor),
            open_rate: edit.open_rate.unwrap_or(self.open_rate),
            open_burst: edit.open_burst.unwrap_or(self.open_burst),
        }
    }

    fn to_edit(&self) -> ServiceEdit {
        ServiceEdit {
            name: Located::without_location(self.name.clone()),
            floor: Some(self.floor),
            open_rate: Some(self.open_rate),
            open_burst: Some(self.open_burst),
        }
    }
}

impl Item for Route {
    type Name = RouteName;
    type Edit = RouteEdit;
    const KIND: &'static str = "route";
    const MAX: usize = ROUTES_MAX;

    fn name(&self) -> &RouteName {
        &self.name
    }

    fn edited_name(edit: &RouteEdit) -> &Located<RouteName> {
        &edit.name
    }

    fn create(edit: &RouteEdit) -> Option<Self> {
        Some(Route {
            name: edit.name.value.clone(),
            path: edit.path.as_ref()?.value.clone(),
            methods: edit.methods.clone()?,
            service: edit.service.as_ref()?.value.clone(),
            open: edit.open?,
            deadline: edit.deadline?,
            body_max: edit.body_max?,
            idempotent: edit.idempotent.clone()?,
            host: edit.host.clone().unwrap_or_default(),
            split: edit.shares().unwrap_or_default(),
            attempts: edit.attempts.unwrap_or_default(),
            priority: edit.priority.unwrap_or_default(),
            objective: edit.objective.unwrap_or_default(),
        })
    }

    fn amend(&self, edit: &RouteEdit) -> Self {
        let or_old =
            |new: &Option<Vec<String>>, old: &Vec<String>| new.as_ref().unwrap_or(old).clone();
        Route {
            name: self.name.clone(),
            path: value_or(&edit.path, &self.path),
            methods: or_old(&edit.methods, &self.methods),
            service: value_or(&edit.service, &self.service),
            open: edit.open.unwrap_or(self.open),
            deadline: edit.deadline.unwrap_or(self.deadline),
            body_max: edit.body_max.unwrap_or(self.body_max),
            idempotent: or_old(&edit.idempotent, &self.idempotent),
            host: edit.host.as_ref().unwrap_or(&self.host).clone(),
            split: edit.shares().unwrap_or_else(|| self.split.clone()),
            attempts: edit.attempts.unwrap_or(self.attempts),
            priority: edit.priority.unwrap_or(self.priority),
            objective: edit.objective.unwrap_or(self.objective),
        }
    }

    fn to_edit(&self) -> RouteEdit {
        RouteEdit {
            name: Located::without_location(self.name.clone()),
            path: Some(Located::without_location(self.path.clone())),
            methods: Some(self.methods.clone()),
            service: Some(Located::without_location(self.service.clone())),
            open: Some(self.open),
            deadline: Some(self.deadline),
            body_max: Some(self.body_max),
            idempotent: Some(self.idempotent.clone()),
            host: Some(self.host.clone()).filter(|h| !h.is_empty()),
            split: (!self.split.is_empty()).then(|| {
                self.split
                    .iter()
                    .cloned()
                    .map(Located::without_location)
                    .collect()
            }),
            attempts: Some(self.attempts).filter(|n| *n > 0),
            priority: Some(self.priority).filter(|n| *n > 0),
            objective: Some(self.objective).filter(|t| !t.is_zero()),
        }
    }
}
