//! The pages of one reading of the platform's list. They are put together only
//! if they belong together, and go by only in the duty in which they were asked for.

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
    /// The duty in which it was begun: since when the node has led.
    duty: u64,
    asked: BTreeSet<String>,
    entries: BTreeMap<String, T>,
}

impl<T> Listing<T> {
    pub fn begin(duty: u64) -> Listing<T> {
        Listing {
            duty,
            asked: BTreeSet::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Takes the page that was asked for. A page that leads to one that was asked
    /// for before is the answer to an earlier call.
    pub fn page(&mut self, entries: BTreeMap<String, T>, token: Option<String>) -> Next {
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

    /// All entries, if the duty is still the one in which the reading was begun:
    /// in between, another leader may have read a newer list.
    pub fn finish(self, duty: Option<u64>) -> Option<BTreeMap<String, T>> {
        (duty == Some(self.duty)).then_some(self.entries)
    }
}

#[cfg(test)]
mod tests;
