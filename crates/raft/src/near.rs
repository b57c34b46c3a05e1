//! Which voter a node without a vote follows: one of its zone, or else of its
//! region, or else any; another when that one falls silent.

use std::collections::BTreeMap;

/// A machine with a disk that could be followed.
#[derive(Clone, Debug)]
pub struct UpstreamCandidate {
    pub id: u64,
    pub same_zone: bool,
    pub same_region: bool,
}

/// How long silence is borne, in ms.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamTimeouts {
    /// A source that is silent for longer is left.
    pub silent: u64,
    /// A source that was left is not asked again for this long.
    pub shun: u64,
}

/// Remembers which sources fell silent.
#[derive(Debug, Default)]
pub struct UpstreamSelector {
    left: BTreeMap<u64, u64>,
}

impl UpstreamSelector {
    /// The source to follow from now on, if it is another than now. `feed` is
    /// the one followed, and when it was last heard.
    pub fn next(
        &mut self,
        now: u64,
        me: u64,
        feed: (u64, u64),
        sources: &[UpstreamCandidate],
        timing: UpstreamTimeouts,
    ) -> Option<u64> {
        let (from, heard_at) = feed;
        self.left.retain(|_, until| now < *until);
        let silent = from != 0 && now.saturating_sub(heard_at) >= timing.silent;
        if silent {
            self.left.insert(from, now + timing.shun);
        }
        let mix = |id: u64| (id ^ me).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
        let rank = |s: &&UpstreamCandidate| {
            let shunned = self.left.get(&s.id).copied().unwrap_or(0);
            (shunned, !s.same_zone, !s.same_region, mix(s.id))
        };
        let best = sources.iter().min_by_key(rank)?.id;
        (best != from || silent).then_some(best)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_nearest_is_followed_and_left_when_silent() {
        let timing = UpstreamTimeouts {
            silent: 1000,
            shun: 5000,
        };
        let source = |id, same_zone, same_region| UpstreamCandidate {
            id,
            same_zone,
            same_region,
        };
        let sources = [
            source(1, false, false),
            source(2, false, true),
            source(3, true, true),
        ];
        let mut f = UpstreamSelector::default();
        assert_eq!(f.next(0, 9, (0, 0), &sources, timing), Some(3));
        assert_eq!(
            f.next(900, 9, (3, 0), &sources, timing),
            None,
            "not silent for long"
        );
        assert_eq!(
            f.next(1000, 9, (3, 0), &sources, timing),
            Some(2),
            "the next nearest"
        );
        assert_eq!(f.next(1500, 9, (2, 1400), &sources, timing), None);
        assert_eq!(f.next(2400, 9, (2, 1400), &sources, timing), Some(1));
        assert_eq!(
            f.next(3400, 9, (1, 2400), &sources, timing),
            Some(3),
            "left for longest"
        );
        assert_eq!(
            f.next(9000, 9, (1, 8990), &sources, timing),
            Some(3),
            "back to the nearest"
        );
        assert_eq!(f.next(9000, 9, (0, 0), &[], timing), None);
        let two = [source(5, true, true), source(6, true, true)];
        let chosen: Vec<_> = (100..140)
            .map(|me| UpstreamSelector::default().next(0, me, (0, 0), &two, timing))
            .collect();
        let first = chosen.iter().filter(|c| **c == Some(5)).count();
        assert!((10..=30).contains(&first), "equal sources share: {first} of 40");
    }
}
