//! The pages of one reading of the platform's list. They are put together only
//! if they belong together, and go by only while the node leads without a break since they were asked for.

use std::collections::{BTreeMap, BTreeSet};

/// What follows a page.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Ask for the page of this token.
    Page(String),
    Done,
    /// The page is no answer to what was asked, or the list never ends.
    Broken,
}

/// A reading under way, of entries by their identifier.
pub struct Listing<T> {
    /// Since when the node had led as it was begun, ms.
    leader_since: u64,
    asked: BTreeSet<String>,
    entries: BTreeMap<String, T>,
}

impl<T> Listing<T> {
    /// A reading that begins now.
    pub fn new(leader_since: u64) -> Listing<T> {
        Listing {
            leader_since,
            asked: BTreeSet::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Takes the page that was asked for. A page that leads to one that was asked
    /// for before is the answer to an earlier call.
    pub fn add_page(&mut self, entries: BTreeMap<String, T>, token: Option<String>) -> Next {
        self.entries.extend(entries);
        match token {
            Some(token) if !token.is_empty() => {
                if self.asked.insert(token.clone()) {
                    Next::Page(token)
                } else {
                    Next::Broken
                }
            }
            _ => Next::Done,
        }
    }

    /// All entries, if the node has led all the time since the reading began: in between,
    /// another leader may have read a newer list.
    pub fn finish(self, leader_since: Option<u64>) -> Option<BTreeMap<String, T>> {
        (leader_since == Some(self.leader_since)).then_some(self.entries)
    }
}

#[cfg(test)]
mod tests;
