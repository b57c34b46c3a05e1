//! The shape of a soak's fleet: how machines and workers are spread over zones, how the platform
//! pages its list, and which nodes the faults prefer.

use crate::platform::{PageToken, Pages};
use clap::ValueEnum;
use std::time::Duration;

/// A named shape.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum ShapeName {
    /// A zone for each machine, and few workers in four of them.
    #[default]
    Small,
    /// Nine zones that machines share, many workers, waves of replacements, faults that prefer the
    /// leader.
    Wide,
    /// As `Wide`, with a list whose entries move between pages when others are removed.
    WideMovingPages,
}

/// The shape of a soak's fleet.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of machines with a disk.
    pub with_disk: u8,
    /// Number of zones over which the machines are spread; `None` gives each a zone of its own.
    pub machine_zones: Option<u8>,
    /// Number of zones with workers.
    pub worker_zones: u8,
    /// Number of workers of each service in a zone.
    pub workers_per_zone: u8,
    /// Paging of the platform's list.
    pub pages: Pages,
    /// Number of workers that are replaced at the same time.
    pub replaced_at_once: usize,
    /// Fraction of the faults at nodes that affect the leader, which also reads the list.
    pub leader_fault_fraction: f64,
}

impl From<ShapeName> for Shape {
    fn from(name: ShapeName) -> Shape {
        match name {
            ShapeName::Small => Shape {
                with_disk: 5,
                machine_zones: None,
                worker_zones: 4,
                workers_per_zone: 3,
                pages: Pages {
                    entries_per_page: 10,
                    page_delay: Duration::from_millis(15),
                    token: PageToken::Position,
                },
                replaced_at_once: 1,
                leader_fault_fraction: 0.0,
            },
            ShapeName::Wide => wide(PageToken::LastEntry),
            ShapeName::WideMovingPages => wide(PageToken::Position),
        }
    }
}

fn wide(token: PageToken) -> Shape {
    Shape {
        with_disk: 9,
        machine_zones: Some(9),
        worker_zones: 9,
        workers_per_zone: 5,
        pages: Pages {
            entries_per_page: 5,
            page_delay: Duration::from_millis(80),
            token,
        },
        replaced_at_once: 4,
        leader_fault_fraction: 0.35,
    }
}
