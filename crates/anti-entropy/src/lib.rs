//! Repair: a data-plane copy is compared with another by digests over ranges
//! of its rows, and ranges that differ are repaired from the newer copy.

use control_state::ControlState;
use prost::Message;
use protocol::{ControlStateImage, RangeDigests, Repair};

/// Ranges that hold one table each: configuration, evacuations, fractions,
/// allowances with all that is small.
const TABLES: usize = 4;
/// Ranges over which the workers are spread, and the same for the holdings.
const SPREAD: usize = 6;
/// All ranges of a copy.
pub const RANGES: usize = TABLES + 2 * SPREAD;

fn mix(mut hash: u64, bytes: &[u8]) -> u64 {
    for b in bytes {
        hash = (hash ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash ^ (hash >> 29)
}

const BASIS: u64 = 0xcbf2_9ce4_8422_2325;

fn range_of_worker(id: &str) -> usize {
    TABLES + (mix(BASIS, id.as_bytes()) % SPREAD as u64) as usize
}

fn range_of_holding(service: &str, from: u32) -> usize {
    let hash = mix(mix(BASIS, service.as_bytes()), &from.to_le_bytes());
    TABLES + SPREAD + (hash % SPREAD as u64) as usize
}

/// Keeps of an image only the rows of the given ranges.
fn pick(image: &ControlStateImage, wanted: impl Fn(usize) -> bool) -> ControlStateImage {
    let mut part = ControlStateImage {
        index: image.index,
        ..Default::default()
    };
    if wanted(0) {
        part.version = image.version;
        part.command_history = image.command_history.clone();
        part.configuration = image.configuration.clone();
    }
    if wanted(1) {
        part.evacuated = image.evacuated.clone();
        part.ended_evacuations = image.ended_evacuations.clone();
    }
    if wanted(2) {
        part.fractions = image.fractions.clone();
    }
    if wanted(3) {
        part.retry_allowances = image.retry_allowances.clone();
        part.retry_slack = image.retry_slack;
        part.ejected = image.ejected.clone();
        part.warmup_groups = image.warmup_groups.clone();
        part.rollouts = image.rollouts.clone();
        part.kill_switch = image.kill_switch.clone();
    }
    part.workers = image
        .workers
        .iter()
        .filter(|w| wanted(range_of_worker(&w.id)))
        .cloned()
        .collect();
    part.key_leases = image
        .key_leases
        .iter()
        .filter(|h| wanted(range_of_holding(&h.service, h.from)))
        .cloned()
        .collect();
    part
}

/// The digests of a copy.
pub fn digests(stage: &ControlState) -> RangeDigests {
    let image = stage.image();
    let ranges = (0..RANGES)
        .map(|range| {
            let mut part = pick(&image, |r| r == range);
            part.index = 0;
            mix(BASIS, &part.encode_to_vec())
        })
        .collect();
    RangeDigests {
        index: image.index,
        ranges,
        ..Default::default()
    }
}

/// What a peer that sent its digests lacks of this copy; `None` if this copy is
/// not the newer one or nothing differs.
pub fn repair_for(stage: &ControlState, theirs: &RangeDigests) -> Option<Repair> {
    if stage.index < theirs.index {
        return None;
    }
    let mine = digests(stage);
    let ranges: Vec<u32> = (0..RANGES)
        .filter(|r| theirs.ranges.get(*r) != mine.ranges.get(*r))
        .map(|r| r as u32)
        .collect();
    if ranges.is_empty() && stage.index == theirs.index {
        return None;
    }
    let image = pick(&stage.image(), |r| ranges.contains(&(r as u32)));
    Some(Repair {
        index: stage.index,
        ranges,
        image: Some(image),
        incarnation: theirs.incarnation,
        number: theirs.number,
    })
}

/// The copy with the ranges of a mend put in place of its own; `None` if the
/// mend is not newer or cannot be read.
pub fn repaired(stage: &ControlState, mend: &Repair) -> Option<ControlState> {
    let newer = mend.image.as_ref()?;
    if mend.index < stage.index {
        return None;
    }
    let given = |r: usize| mend.ranges.contains(&(r as u32));
    let mut image = pick(&stage.image(), |r| !given(r));
    image.index = mend.index;
    if given(0) {
        image.version = newer.version;
        image.command_history = newer.command_history.clone();
        image.configuration = newer.configuration.clone();
    }
    if given(1) {
        image.evacuated = newer.evacuated.clone();
        image.ended_evacuations = newer.ended_evacuations.clone();
    }
    if given(2) {
        image.fractions = newer.fractions.clone();
    }
    if given(3) {
        image.retry_allowances = newer.retry_allowances.clone();
        image.retry_slack = newer.retry_slack;
        image.ejected = newer.ejected.clone();
        image.warmup_groups = newer.warmup_groups.clone();
        image.rollouts = newer.rollouts.clone();
        image.kill_switch = newer.kill_switch.clone();
    }
    image.workers.extend(newer.workers.iter().cloned());
    image.key_leases.extend(newer.key_leases.iter().cloned());
    ControlState::from_image(image).ok()
}

/// The same, of a mend that answers digests which this node has sent: `None` also
/// if the copy has changed since. What a mend leaves out is equal to the copy
/// that was asked about, and to no other.
pub fn repaired_since(stage: &ControlState, asked: &RangeDigests, mend: &Repair) -> Option<ControlState> {
    let unchanged = digests(stage) == *asked;
    unchanged.then(|| repaired(stage, mend))?
}
