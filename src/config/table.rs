//! A table of items of one kind, sorted by name and shared between configurations.

use std::sync::Arc;

use super::edit::{Edits, Item};
use super::note::NoteError;

/// A sorted vector of shared items; a clone costs one reference count.
#[derive(Debug)]
pub(super) struct Table<T> {
    items: Arc<Vec<Arc<T>>>,
}

impl<T> Clone for Table<T> {
    fn clone(&self) -> Self {
        Table {
            items: Arc::clone(&self.items),
        }
    }
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Table {
            items: Arc::default(),
        }
    }
}

/// The edit at one index of the old vector.
enum Change<T> {
    Insert(Arc<T>),
    Replace(Arc<T>),
    Remove,
}

impl<T: Item> Table<T> {
    pub(super) fn items(&self) -> &[Arc<T>] {
        &self.items
    }

    /// Returns true if both tables share one vector.
    pub(super) fn is_same(&self, other: &Table<T>) -> bool {
        Arc::ptr_eq(&self.items, &other.items)
    }

    pub(super) fn get(&self, name: &T::Name) -> Option<&T> {
        let i = self.find(name).ok()?;
        Some(&self.items[i])
    }

    fn find(&self, name: &T::Name) -> Result<usize, usize> {
        self.items.binary_search_by(|item| item.name().cmp(name))
    }

    /// Returns the table after `edits`; edits with an error are left out.
    pub(super) fn apply(&self, edits: &Edits<T>, errors: &mut Vec<NoteError>) -> Table<T> {
        let mut changes = Vec::new();
        for edit in &edits.added {
            let name = T::edited_name(edit);
            match (self.find(&name.value), T::create(edit)) {
                (Err(i), Some(item)) => changes.push((i, Change::Insert(Arc::new(item)))),
                (Err(_), None) => errors.push(name.location.error("a field is missing")),
                (Ok(_), _) => errors.push(name.location.error(format!(
                    "{} {:?} exists already",
                    T::KIND,
                    name.value.to_string()
                ))),
            }
        }
        for edit in &edits.changed {
            let name = T::edited_name(edit);
            match self.find(&name.value) {
                Ok(i) => changes.push((i, Change::Replace(Arc::new(self.items[i].amend(edit))))),
                Err(_) => errors.push(name.location.error(unknown::<T>(&name.value))),
            }
        }
        for name in &edits.withdrawn {
            match self.find(&name.value) {
                Ok(i) => changes.push((i, Change::Remove)),
                Err(_) => errors.push(name.location.error(unknown::<T>(&name.value))),
            }
        }
        if changes.is_empty() {
            return self.clone();
        }
        self.merge(changes)
    }

    fn merge(&self, mut changes: Vec<(usize, Change<T>)>) -> Table<T> {
        // Inserts go before the item at the same index; the stable sort keeps them in the order of
        // their names.
        changes.sort_by_key(|(i, change)| (*i, !matches!(change, Change::Insert(_))));
        let mut items = Vec::with_capacity(self.items.len() + changes.len());
        let mut copied = 0;
        for (i, change) in changes {
            items.extend_from_slice(&self.items[copied..i]);
            copied = i;
            match change {
                Change::Insert(item) => items.push(item),
                Change::Replace(item) => {
                    items.push(item);
                    copied += 1;
                }
                Change::Remove => copied += 1,
            }
        }
        items.extend_from_slice(&self.items[copied..]);
        Table {
            items: Arc::new(items),
        }
    }
}

fn unknown<T: Item>(name: &T::Name) -> String {
    format!("{} {:?} does not exist", T::KIND, name.to_string())
}
