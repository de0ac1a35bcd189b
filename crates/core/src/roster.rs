//! The list of entries, ordered by the store revision that it reflects.
//!
//! Entries take the list from the store and from each other. A list never replaces one of a later revision or
//! generation, and its age is the time since the store confirmed it: the absence of changes confirms nothing.

use crate::owner::EntryInfo;
use crate::revision::Revision;
use crate::time::{SignedTime, Span, Time};
use crate::value;
use xxhash_rust::xxh3::Xxh3;

/// Time by which a list without a revision or generation may be behind the store.
const UNMARKED_LAG: Span = Span::from_secs(2);

value! {
    /// What one entry tells another about its list. Together with the list it is enough to replace an older
    /// one, and without it to confirm an equal one.
    #[derive(Copy)]
    pub struct RosterMark {
        /// Store revision that the list reflects.
        pub as_of: u64,
        /// Generation of that revision; 0 if it is unknown.
        #[serde(default)]
        pub generation: u64,
        /// Hash of the list.
        pub digest: u64,
        /// Time since the store confirmed the list; `None` if it never has.
        pub age: Option<Span>,
    }

    /// A list that one entry tells another.
    pub struct RosterStatement {
        /// Its revision and age.
        pub mark: RosterMark,
        /// The entries.
        pub entries: Vec<EntryInfo>,
    }
}

impl RosterMark {
    /// Revision of the list.
    pub fn revision(&self) -> Revision {
        Revision::new(self.generation, self.as_of)
    }
}

/// The list of entries.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    /// Sorted by name.
    entries: Vec<EntryInfo>,
    /// Store revision that the list reflects; its number is 0 if an entry of an earlier version told it.
    as_of: Revision,
    confirmed: Option<SignedTime>,
}

impl Roster {
    /// The entries, sorted by name.
    pub fn entries(&self) -> &[EntryInfo] {
        &self.entries
    }

    /// Store revision that the list reflects; its number is 0 if it is unknown.
    pub fn as_of(&self) -> Revision {
        self.as_of
    }

    /// Time since the store confirmed the list, or `None` if it never has.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.confirmed.map(|at| at.age(now))
    }

    /// What to tell other entries besides the list.
    pub fn mark(&self, now: Time) -> RosterMark {
        let Revision { generation, number: as_of } = self.as_of;
        RosterMark { as_of, generation, digest: self.digest(), age: self.age(now) }
    }

    /// What to tell an entry that may have another list.
    pub fn statement(&self, now: Time) -> RosterStatement {
        RosterStatement { mark: self.mark(now), entries: self.entries.clone() }
    }

    /// Whether an entry with a list of this revision and hash lacks this one. An entry of an earlier version
    /// tells no revision.
    pub fn is_news_for(&self, as_of: Revision, digest: u64) -> bool {
        digest != self.digest() && (as_of.number == 0 || self.as_of > as_of)
    }

    /// Whether a list of another entry is later than this one. An entry of an earlier version tells no
    /// revision, or no generation.
    pub fn is_older_than(&self, now: Time, other: Option<&RosterMark>) -> bool {
        let as_of = other.map(RosterMark::revision).unwrap_or_default();
        let unmarked = as_of.number == 0 || as_of.generation == 0 && self.as_of.generation > 0;
        let later = match unmarked {
            true => self.age(now).is_none_or(|age| age > UNMARKED_LAG),
            false => as_of > self.as_of,
        };
        later || self.entries.is_empty()
    }

    /// Takes a list that the store or another entry told `age` ago, as of a revision. Returns whether the
    /// entries changed.
    pub fn replace(
        &mut self,
        now: Time,
        mut entries: Vec<EntryInfo>,
        as_of: Revision,
        age: Option<Span>,
    ) -> bool {
        entries.sort();
        entries.dedup_by(|a, b| a.name == b.name);
        self.as_of = as_of;
        self.confirmed = age.map(|age| SignedTime::before(now, age));
        let changed = self.entries != entries;
        self.entries = entries;
        changed
    }

    /// Records that the store, or another entry, had the list with this mark `delay` ago. That confirms this
    /// list if it is the same one.
    pub fn confirm(&mut self, now: Time, mark: &RosterMark, delay: Span) {
        let Some(age) = mark.age else { return };
        if mark.digest == self.digest() && mark.revision() >= self.as_of {
            self.as_of = mark.revision();
            let at = SignedTime::before(now, age + delay);
            self.confirmed = self.confirmed.max(Some(at));
        }
    }

    fn digest(&self) -> u64 {
        digest(&self.entries)
    }
}

/// Hashes a list of entries that is sorted by name, to detect whether two lists differ.
pub fn digest(entries: &[EntryInfo]) -> u64 {
    let mut hash = Xxh3::new();
    for entry in entries {
        hash.update(entry.name.as_bytes());
        hash.update(entry.address.as_bytes());
        hash.update(&[0]);
    }
    hash.digest()
}
