//! The in-memory part of the log, after the snapshot.

use crate::process::replica::{LogEntry, Membership, Payload, Snapshot};
use crate::quantity::{LogIndex, Term};
use std::collections::VecDeque;

#[derive(Debug)]
pub(super) struct Log {
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<LogEntry>,
}

impl Log {
    pub(super) fn new(snapshot: &Snapshot, entries: Vec<LogEntry>) -> Self {
        let after = |entry: &LogEntry| entry.index > snapshot.index;
        Self {
            base_index: snapshot.index,
            base_term: snapshot.term,
            entries: entries.into_iter().filter(after).collect(),
        }
    }

    pub(super) fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.base_index, |entry| entry.index)
    }

    pub(super) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    pub(super) const fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        Some(self.entries.get(self.offset(index)?)?.term)
    }

    pub(super) fn push(&mut self, entry: LogEntry) {
        self.entries.push_back(entry);
    }

    /// Returns the entries between two positions, inclusive.
    pub(super) fn range(&self, from: LogIndex, to: LogIndex) -> Vec<LogEntry> {
        let Some(start) = self.offset(from) else {
            return Vec::new();
        };
        let count = (to.get() + 1).saturating_sub(from.get());
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        self.entries.iter().skip(start).take(count).cloned().collect()
    }

    /// Removes the entries at and after a position.
    pub(super) fn truncate_from(&mut self, index: LogIndex) {
        if let Some(offset) = self.offset(index) {
            self.entries.truncate(offset);
        }
    }

    /// Removes the entries up to a position that is covered by a snapshot.
    pub(super) fn compact(&mut self, index: LogIndex, term: Term) {
        while self.entries.front().is_some_and(|entry| entry.index <= index) {
            self.entries.pop_front();
        }
        self.base_index = index;
        self.base_term = term;
    }

    /// Clears the log and continues after a snapshot.
    pub(super) fn reset(&mut self, index: LogIndex, term: Term) {
        self.entries.clear();
        self.base_index = index;
        self.base_term = term;
    }

    /// Returns the latest membership, given the one at the snapshot.
    pub(super) fn membership(&self, at_base: &Membership) -> Membership {
        self.membership_at(self.last_index(), at_base)
    }

    /// Returns the membership at a position, given the one at the snapshot.
    pub(super) fn membership_at(&self, index: LogIndex, at_base: &Membership) -> Membership {
        let up_to_index = self.entries.iter().rev().skip_while(|entry| entry.index > index);
        up_to_index.filter_map(membership_of).next().unwrap_or(at_base).clone()
    }

    pub(super) fn has_membership_after(&self, index: LogIndex) -> bool {
        let after = self.entries.iter().rev().take_while(|entry| entry.index > index);
        after.filter_map(membership_of).next().is_some()
    }

    fn offset(&self, index: LogIndex) -> Option<usize> {
        usize::try_from(index.get().checked_sub(self.base_index.get() + 1)?).ok()
    }
}

const fn membership_of(entry: &LogEntry) -> Option<&Membership> {
    match &entry.payload {
        Payload::Membership(membership) => Some(membership),
        _ => None,
    }
}
