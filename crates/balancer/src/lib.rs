//! Forwarding decisions: which worker gets a request, how often it may be
//! sent, and how much a cold worker bears. Everything a node decides rests on
//! its own counts and on its share of what all nodes may do together.

mod attempt;
mod budget;
mod pool;
mod seats;
mod trial;

pub use attempt::{Attempt, Echo, Head, Outcome, Phase, Taken, Tries, PROMISES};
pub use budget::Budget;
pub use pool::{Place, Pool};
pub use seats::{Choice, Found, LoadBalancer, Neighbours, Observed, Request};
pub use trial::Ticket;
