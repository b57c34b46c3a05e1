//! Assembles the pages of one listing of the platform's workers. The listing is used only if its
//! pages belong together and the node has led without interruption since the listing began.

use std::collections::{BTreeMap, BTreeSet};

/// Next step after a page has been added.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// Request the page with this token.
    Page(String),
    /// The listing is complete.
    Done,
    /// The page is not the response to the request, or the list does not end.
    Invalid,
}

/// A listing in progress, with the entries read so far by their identifier.
pub struct Listing<T> {
    /// Start of the leadership under which the listing was begun, in milliseconds.
    leader_since: u64,
    requested_tokens: BTreeSet<String>,
    entries: BTreeMap<String, T>,
}

impl<T> Listing<T> {
    /// Creates an empty listing that begins under the given leadership.
    pub fn new(leader_since: u64) -> Listing<T> {
        Listing {
            leader_since,
            requested_tokens: BTreeSet::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Adds the requested page. A page whose next token was already requested is the response to an
    /// earlier call.
    pub fn add_page(&mut self, entries: BTreeMap<String, T>, token: Option<String>) -> NextStep {
        self.entries.extend(entries);
        match token {
            Some(token) if !token.is_empty() => {
                if self.requested_tokens.insert(token.clone()) {
                    NextStep::Page(token)
                } else {
                    NextStep::Invalid
                }
            }
            _ => NextStep::Done,
        }
    }

    /// Returns all entries if the node has led without interruption since the listing began;
    /// otherwise another leader may have read a newer list in between.
    pub fn finish(self, leader_since: Option<u64>) -> Option<BTreeMap<String, T>> {
        (leader_since == Some(self.leader_since)).then_some(self.entries)
    }
}

#[cfg(test)]
mod tests;
