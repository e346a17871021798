//! The items of a release note, each with its place in the text.

use std::fmt::Display;
use std::time::Duration;

use super::model::{Account, Key, Route, Service, WeightedService};
use super::note::NoteError;
use super::{ACCOUNTS_MAX, KEYS_MAX, ROUTES_MAX, SERVICES_MAX};
use crate::ids::{AccountName, KeyDigest, KeyName, RouteName, ServiceName};
use crate::units::{Burst, ByteSize, Rate};

/// A place in the text of a note; both numbers start at 1 and are 0 in a decoded note.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Place {
    pub(super) line: usize,
    pub(super) column: usize,
}

impl Place {
    pub(super) fn error(self, message: impl Into<String>) -> NoteError {
        NoteError {
            line: self.line,
            column: self.column,
            message: message.into(),
        }
    }
}

/// A value and where the note states it.
#[derive(Clone, Debug)]
pub(super) struct Placed<T> {
    pub(super) value: T,
    pub(super) place: Place,
}

impl<T> Placed<T> {
    /// Wraps a value that comes from an encoded note, which has no places.
    pub(super) fn nowhere(value: T) -> Self {
        Placed {
            value,
            place: Place::default(),
        }
    }
}

/// A part of the configuration that notes add, change and withdraw by name.
pub(super) trait Item: Sized {
    /// The name, unique among items of this kind.
    type Name: Ord + Clone + Display;
    /// What a note says of the item; absent fields keep their value.
    type Edit;
    /// The word for the item in errors.
    const KIND: &'static str;
    /// Most items of this kind in a configuration.
    const MAX: usize;

    fn name(&self) -> &Self::Name;
    fn target(edit: &Self::Edit) -> &Placed<Self::Name>;
    /// Creates the item, or returns `None` if a field is missing.
    fn create(edit: &Self::Edit) -> Option<Self>;
    fn amend(&self, edit: &Self::Edit) -> Self;
    /// States the whole item as an edit.
    fn restate(&self) -> Self::Edit;
}

/// What a note does to the items of one kind, each list sorted by name.
#[derive(Debug)]
pub(super) struct Edits<T: Item> {
    pub(super) added: Vec<T::Edit>,
    pub(super) changed: Vec<T::Edit>,
    pub(super) withdrawn: Vec<Placed<T::Name>>,
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
    /// Sorts the lists, so that the encoding doesn't depend on the order in the text.
    pub(super) fn sort(&mut self) {
        let by_name = |a: &T::Edit, b: &T::Edit| T::target(a).value.cmp(&T::target(b).value);
        self.added.sort_by(by_name);
        self.changed.sort_by(by_name);
        self.withdrawn.sort_by(|a, b| a.value.cmp(&b.value));
    }

    /// Reports every name that the note uses more than once for this kind.
    pub(super) fn check_names(&self, errors: &mut Vec<NoteError>) {
        let edits = self.added.iter().chain(&self.changed);
        let mut names: Vec<_> = edits.map(T::target).chain(&self.withdrawn).collect();
        names.sort_by(|a, b| a.value.cmp(&b.value));
        for pair in names.windows(2).filter(|p| p[0].value == p[1].value) {
            let (first, second) = in_text_order(pair[0].place, pair[1].place);
            errors.push(second.error(format!(
                "{} {:?} is already named in line {}",
                T::KIND,
                pair[0].value.to_string(),
                first.line
            )));
        }
    }
}

fn in_text_order(a: Place, b: Place) -> (Place, Place) {
    match (a.line, a.column) <= (b.line, b.column) {
        true => (a, b),
        false => (b, a),
    }
}

#[derive(Debug)]
pub(super) struct AccountEdit {
    pub(super) name: Placed<AccountName>,
    pub(super) rate: Option<Rate>,
    pub(super) burst: Option<Burst>,
    pub(super) priority: Option<u8>,
}

#[derive(Debug)]
pub(super) struct KeyEdit {
    pub(super) name: Placed<KeyName>,
    pub(super) account: Option<Placed<AccountName>>,
    pub(super) digest: Option<Placed<KeyDigest>>,
}

#[derive(Debug)]
pub(super) struct ServiceEdit {
    pub(super) name: Placed<ServiceName>,
    pub(super) floor: Option<u8>,
    pub(super) open_rate: Option<Rate>,
    pub(super) open_burst: Option<Burst>,
}

#[derive(Debug)]
pub(super) struct RouteEdit {
    pub(super) name: Placed<RouteName>,
    pub(super) path: Option<Placed<String>>,
    pub(super) methods: Option<Vec<String>>,
    pub(super) service: Option<Placed<ServiceName>>,
    pub(super) open: Option<bool>,
    pub(super) deadline: Option<Duration>,
    pub(super) body_max: Option<ByteSize>,
    pub(super) idempotent: Option<Vec<String>>,
    pub(super) host: Option<String>,
    pub(super) split: Option<Vec<Placed<WeightedService>>>,
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

fn value_or<T: Clone>(edit: &Option<Placed<T>>, old: &T) -> T {
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

    fn target(edit: &AccountEdit) -> &Placed<AccountName> {
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

    fn restate(&self) -> AccountEdit {
        AccountEdit {
            name: Placed::nowhere(self.name.clone()),
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

    fn target(edit: &KeyEdit) -> &Placed<KeyName> {
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

    fn restate(&self) -> KeyEdit {
        KeyEdit {
            name: Placed::nowhere(self.name.clone()),
            account: Some(Placed::nowhere(self.account.clone())),
            digest: Some(Placed::nowhere(self.digest)),
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

    fn target(edit: &ServiceEdit) -> &Placed<ServiceName> {
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

    fn restate(&self) -> ServiceEdit {
        ServiceEdit {
            name: Placed::nowhere(self.name.clone()),
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

    fn target(edit: &RouteEdit) -> &Placed<RouteName> {
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

    fn restate(&self) -> RouteEdit {
        RouteEdit {
            name: Placed::nowhere(self.name.clone()),
            path: Some(Placed::nowhere(self.path.clone())),
            methods: Some(self.methods.clone()),
            service: Some(Placed::nowhere(self.service.clone())),
            open: Some(self.open),
            deadline: Some(self.deadline),
            body_max: Some(self.body_max),
            idempotent: Some(self.idempotent.clone()),
            host: Some(self.host.clone()).filter(|h| !h.is_empty()),
            split: (!self.split.is_empty())
                .then(|| self.split.iter().cloned().map(Placed::nowhere).collect()),
            attempts: Some(self.attempts).filter(|n| *n > 0),
            priority: Some(self.priority).filter(|n| *n > 0),
            objective: Some(self.objective).filter(|t| !t.is_zero()),
        }
    }
}
