//! Statements of the members of one group, which is either the control group or the registry.

use crate::time::Time;
use crate::units::Position;

/// Statements of one member about its position.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MemberStatements {
    /// The latest time at which the member held no entry after this process's position.
    pub(super) as_of: Option<Time>,
    /// A statement about a later position; it counts once this process has applied that position.
    ahead: Option<(Position, Time)>,
}

impl MemberStatements {
    /// Records that the member held no entry after `position` at `as_of`; `applied` is the position
    /// of this process.
    pub(super) fn record(&mut self, applied: Position, position: Position, as_of: Time) {
        if position <= applied {
            self.as_of = self.as_of.max(Some(as_of));
        } else if self.ahead.is_none_or(|(_, time)| time < as_of) {
            self.ahead = Some((position, as_of));
        }
    }

    /// Counts the statement about a later position if this process, at `applied`, has reached it.
    pub(super) fn advance(&mut self, applied: Position) {
        if let Some((position, as_of)) = self.ahead
            && position <= applied
        {
            self.as_of = self.as_of.max(Some(as_of));
            self.ahead = None;
        }
    }
}

/// Members of one group, sorted by identity, with the statements of each.
#[derive(Clone, Debug)]
pub(super) struct Quorum<I> {
    members: Vec<(I, MemberStatements)>,
}

impl<I> Default for Quorum<I> {
    fn default() -> Self {
        Quorum {
            members: Vec::new(),
        }
    }
}

impl<I: Copy + Ord> Quorum<I> {
    /// Replaces the members and keeps the statements of those that remain.
    pub(super) fn replace(&mut self, members: &[I]) {
        let mut next: Vec<_> = members
            .iter()
            .map(|id| (*id, self.statements(*id)))
            .collect();
        next.sort_by_key(|(id, _)| *id);
        self.members = next;
    }

    fn statements(&self, id: I) -> MemberStatements {
        self.find(id)
            .map_or(MemberStatements::default(), |i| self.members[i].1)
    }

    fn find(&self, id: I) -> Option<usize> {
        self.members.binary_search_by_key(&id, |(id, _)| *id).ok()
    }

    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    pub(super) fn members(&self) -> &[(I, MemberStatements)] {
        &self.members
    }

    /// Returns the statements of a member for an update; `None` for other identities.
    pub(super) fn get_mut(&mut self, id: I) -> Option<&mut MemberStatements> {
        self.find(id).map(|i| &mut self.members[i].1)
    }

    /// Iterates over the statements, in the order of the members.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut MemberStatements> {
        self.members.iter_mut().map(|(_, statements)| statements)
    }

    pub(super) fn advance(&mut self, applied: Position) {
        self.members
            .iter_mut()
            .for_each(|(_, statements)| statements.advance(applied));
    }

    /// Returns the latest time at which a majority held no entry after this process's position.
    ///
    /// `me` counts at every time, since it is this process.
    pub(super) fn as_of(&self, me: Option<I>) -> Option<Time> {
        let majority = self.members.len() / 2 + 1;
        let own = |id: I| (me == Some(id)).then_some(Time(u64::MAX));
        let times = self
            .members
            .iter()
            .map(|(id, statements)| own(*id).max(statements.as_of));
        let mut times: Vec<Option<Time>> = times.collect();
        if times.len() < majority {
            return None;
        }
        let index = times.len() - majority;
        *times.select_nth_unstable(index).1
    }
}
