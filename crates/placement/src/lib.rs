//! Placement: which sites the directory gives the clients of each group for each service, which
//! workers are ejected, and which nodes may call a worker that is warming up.
//!
//! A site is a region; a client group is a client zone. The method is a watermark-capped min-cost
//! flow over merged groups, then a second flow that removes tiny flows, with hysteresis. All of it
//! is computation without I/O that the leader runs under its lease.
//!
//! - [`DemandTracker`] aggregates the reports of the nodes into a [`PlacementInput`];
//! - [`compute_placement`] computes a [`Placement`] from that;
//! - [`draw_site`] applies a placement to one client;
//! - [`OutlierDetector`] decides which workers are ejected;
//! - [`WarmupAdmission`] compares the platform's list of workers with the control state.

mod assignment;
mod consolidation;
mod demand;
mod min_cost_flow;
mod outcomes;
mod outlier;
mod warmup_admission;
mod weighted_choice;

pub use assignment::{
    compute_placement, placements_differ, GroupSite, Options, Placement, PlacementInput, ServiceGroup,
    ServiceSite,
};
pub use demand::DemandTracker;
pub use min_cost_flow::{Network, Solution};
pub use outlier::OutlierDetector;
pub use warmup_admission::{draining_on_page, is_empty_change, DiscoveryInput, ProxyNode, WarmupAdmission};
pub use weighted_choice::draw_site;
