//! Items of one kind, sorted by name and shared between configurations.

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

/// What happens at one place of the old vector.
enum Step<T> {
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

    /// Returns the table after `edits`; errors leave out the items that they concern.
    pub(super) fn apply(&self, edits: &Edits<T>, errors: &mut Vec<NoteError>) -> Table<T> {
        let mut steps = Vec::new();
        for edit in &edits.added {
            let target = T::target(edit);
            match (self.find(&target.value), T::create(edit)) {
                (Err(i), Some(item)) => steps.push((i, Step::Insert(Arc::new(item)))),
                (Err(_), None) => errors.push(target.place.error("a field is missing")),
                (Ok(_), _) => errors.push(target.place.error(format!(
                    "{} {:?} exists already",
                    T::KIND,
                    target.value.to_string()
                ))),
            }
        }
        for edit in &edits.changed {
            let target = T::target(edit);
            match self.find(&target.value) {
                Ok(i) => steps.push((i, Step::Replace(Arc::new(self.items[i].amend(edit))))),
                Err(_) => errors.push(target.place.error(unknown::<T>(&target.value))),
            }
        }
        for target in &edits.withdrawn {
            match self.find(&target.value) {
                Ok(i) => steps.push((i, Step::Remove)),
                Err(_) => errors.push(target.place.error(unknown::<T>(&target.value))),
            }
        }
        if steps.is_empty() {
            return self.clone();
        }
        self.merge(steps)
    }

    fn merge(&self, mut steps: Vec<(usize, Step<T>)>) -> Table<T> {
        // Inserts at a place go before the item that stands there; the stable sort keeps them in
        // order of their names.
        steps.sort_by_key(|(i, step)| (*i, !matches!(step, Step::Insert(_))));
        let mut items = Vec::with_capacity(self.items.len() + steps.len());
        let mut copied = 0;
        for (i, step) in steps {
            items.extend_from_slice(&self.items[copied..i]);
            copied = i;
            match step {
                Step::Insert(item) => items.push(item),
                Step::Replace(item) => {
                    items.push(item);
                    copied += 1;
                }
                Step::Remove => copied += 1,
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
