//! Which nodes may call a cold worker, and what of the platform's list the log
//! is told. A pure state machine of the leader's.
//!
//! All nodes together may give a cold worker so many requests in any second.
//! That many shares exist and no more: a cast names the nodes that hold them,
//! in the log, and who is not named has none.

use config::{constants as c, settings::Bounds, warmup_limit};
use control_state::ControlState;
use protocol::{name_hash, WarmupGroup, Worker, WorkersChange};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A worker as the platform lists it now; `cold_ms` is how much longer it is cold.
pub type Listed = Worker;

/// A node that takes clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    pub id: u64,
    pub zone: String,
}

/// What was told of a worker's being cold.
#[derive(Clone, Copy, Debug)]
struct Told {
    at: u64,
    until: u64,
}

/// What the list is compared with.
pub struct Scene<'a> {
    pub stage: &'a ControlState,
    /// The index that the log stood at before the list was read.
    pub as_of: u64,
    pub callers: &'a [Caller],
    pub bounds: &'a Bounds,
    /// How far the list is behind.
    pub lag_ms: u64,
}

#[derive(Debug, Default)]
pub struct Casting {
    told: HashMap<String, Told>,
}

impl Casting {
    /// Begins the duty: what was told earlier is not known.
    pub fn begin(&mut self) {
        self.told.clear();
    }

    /// What the list says that the control state does not.
    pub fn compare(&mut self, now: u64, listed: &BTreeMap<String, Listed>, scene: &Scene) -> WorkersChange {
        let stage = scene.stage;
        self.told.retain(|id, _| listed.contains_key(id));
        let mut change = WorkersChange {
            as_of: scene.as_of,
            ..Default::default()
        };
        let mut groups: Groups = HashMap::new();
        for (id, l) in listed {
            let known = stage.workers.get(id).map(|w| &**w);
            let unread = known.is_some_and(|w| stage.is_warmup_unknown(w));
            let told = self.told.get(id).copied();
            // The list may not show yet what was the reason to call it cold.
            let settling = told.filter(|t| now < t.at + scene.lag_ms + c::WARMUP_MARGIN_MS);
            let mut cold_ms = l.warmup_ms;
            if unread {
                cold_ms = cold_ms.max(stage.restored_zone_warmup_ms(&l.service));
            } else if let Some(t) = settling {
                cold_ms = cold_ms.max(t.until.saturating_sub(now));
            }
            let colder =
                l.warmup_ms > 0 && told.is_none_or(|t| now + l.warmup_ms > t.until + c::WARMUP_MARGIN_MS);
            let same = known.is_some_and(|w| is_same(w, l));
            if same && !unread && !colder {
                if known.is_some_and(|w| w.warmup_ms > 0) && l.warmup_ms == 0 {
                    match told {
                        // A new leader waits as if it had told so itself.
                        None => {
                            self.told.insert(id.clone(), Told { at: now, until: now });
                        }
                        Some(_) if settling.is_none() => change.warm.push(id.clone()),
                        Some(_) => {}
                    }
                }
                continue;
            }
            let cast = match known {
                Some(w) if cold_ms == 0 => w.warmup_group,
                // Two casts in one cold time would have shares twice.
                Some(w) if w.warmup_ms > 0 && stage.warmup_groups.contains_key(&w.warmup_group) => {
                    w.warmup_group
                }
                Some(w) if is_staffed(scene, w.warmup_group) => w.warmup_group,
                _ if cold_ms == 0 => 0,
                _ => cast_for(l, scene, &mut groups, &mut change.warmup_groups),
            };
            let until = now + cold_ms;
            self.told.insert(id.clone(), Told { at: now, until });
            change.put.push(Worker {
                warmup_ms: cold_ms,
                warmup_index: 0,
                warmup_group: cast,
                ..l.clone()
            });
        }
        change.removed = stage
            .workers
            .keys()
            .filter(|id| !listed.contains_key(*id))
            .cloned()
            .collect();
        change
    }
}

/// Whether there is nothing to be told.
pub fn is_nothing(change: &WorkersChange) -> bool {
    change.put.is_empty() && change.removed.is_empty() && change.warm.is_empty()
}

fn is_same(known: &Worker, listed: &Listed) -> bool {
    known.draining == listed.draining
        && known.address == listed.address
        && known.zone == listed.zone
        && known.service == listed.service
        && known.version == listed.version
        && known.slots == listed.slots
}

/// Whether half of a cast is up: it stays with its worker as long, so that what a
/// node that lags behind still goes by is the same. While the worker is cold it
/// stays whoever is up.
fn is_staffed(scene: &Scene, cast: u32) -> bool {
    let Some(nodes) = scene.stage.warmup_groups.get(&cast) else {
        return false;
    };
    let up = scene.callers.iter().filter(|n| nodes.contains(&n.id)).count();
    up * 2 >= nodes.len()
}

/// The casts of a service and a zone (empty for holders of keys, whom all call).
type Groups = HashMap<(String, String), Vec<u32>>;

fn cast_for(l: &Listed, scene: &Scene, groups: &mut Groups, new: &mut Vec<WarmupGroup>) -> u32 {
    let service = scene.stage.service(&l.service);
    let keyed = service.is_some_and(|s| s.partitioned);
    let zone = if keyed { "" } else { l.zone.as_str() };
    let key = (l.service.clone(), zone.to_string());
    let numbers = groups.entry(key).or_insert_with(|| {
        let most = warmup_limit(service, scene.bounds);
        let mut nodes: Vec<u64> = scene
            .callers
            .iter()
            .filter(|n| keyed || n.zone == l.zone)
            .map(|n| n.id)
            .collect();
        nodes.sort_unstable();
        nodes.dedup();
        if most == 0 || nodes.is_empty() {
            return vec![0];
        }
        let parts = nodes.len().div_ceil(most);
        (0..parts)
            .map(|part| {
                let cast: BTreeSet<u64> = nodes.iter().skip(part).step_by(parts).copied().collect();
                number_of(cast, scene.stage, new)
            })
            .collect()
    });
    numbers[name_hash(&l.id) as usize % numbers.len()]
}

/// The number that a cast has, or is given now.
fn number_of(cast: BTreeSet<u64>, stage: &ControlState, new: &mut Vec<WarmupGroup>) -> u32 {
    let old = stage.warmup_groups.iter().find(|(_, nodes)| ***nodes == cast);
    if let Some((number, _)) = old {
        return *number;
    }
    let nodes: Vec<u64> = cast.into_iter().collect();
    if let Some(cast) = new.iter().find(|c| c.nodes == nodes) {
        return cast.number;
    }
    let last = stage.warmup_groups.keys().next_back().copied().unwrap_or(0);
    let number = new.iter().map(|c| c.number).fold(last, u32::max) + 1;
    new.push(WarmupGroup { number, nodes });
    number
}

#[cfg(test)]
mod tests {
    use super::*;
    use protocol::Change;
    use protocol::{ChangeKind, ConfigurationCommand, EvacuationChange};

    const CONFIG: &str = r#"{"Version":1,"Limits":{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"},
        "AccessPoints":[],"Groups":[{"Name":"s","ColdPeriod":"3s","ColdRateS":2.0},{"Name":"k","Partitioned":true,"ColdRateS":2.0}]}"#;

    struct Play {
        stage: ControlState,
        casting: Casting,
        list: BTreeMap<String, Listed>,
        callers: Vec<Caller>,
        now: u64,
    }

    impl Play {
        fn new(nodes: u64) -> Play {
            let mut play = Play {
                stage: ControlState::default(),
                casting: Casting::default(),
                list: BTreeMap::new(),
                callers: (1..=nodes)
                    .map(|id| Caller {
                        id,
                        zone: format!("z{}", id % 2),
                    })
                    .collect(),
                now: 1000,
            };
            play.log(ChangeKind::Replace(ConfigurationCommand {
                body: CONFIG.into(),
                ..Default::default()
            }));
            play
        }

        fn log(&mut self, kind: ChangeKind) {
            let index = self.stage.index + 1;
            self.stage.apply(index, &Change::encode(kind));
        }

        fn list(&mut self, id: &str, service: &str, cold_ms: u64) {
            let row = Listed {
                id: id.into(),
                service: service.into(),
                zone: "z1".into(),
                warmup_ms: cold_ms,
                ..Default::default()
            };
            self.list.insert(id.into(), row);
        }

        /// One look at the list after so many ms; what it changed.
        fn look(&mut self, ms: u64) -> WorkersChange {
            self.now += ms;
            let bounds = Bounds {
                cold_excess: 1.5,
                cold_slack: 4.0,
                ..Default::default()
            };
            let scene = Scene {
                stage: &self.stage,
                as_of: self.stage.index,
                callers: &self.callers,
                bounds: &bounds,
                lag_ms: 800,
            };
            let change = self.casting.compare(self.now, &self.list, &scene);
            if !is_nothing(&change) {
                self.log(ChangeKind::Workers(change.clone()));
            }
            change
        }

        fn cast(&self, id: &str) -> Vec<u64> {
            let cast = self.stage.warmup_nodes(&self.stage.workers[id]);
            cast.into_iter().flatten().copied().collect()
        }
    }

    #[test]
    fn a_cold_worker_has_no_more_callers_than_shares_and_all_nodes_are_some_ones() {
        let mut p = Play::new(60);
        for i in 0..40 {
            p.list(&format!("w{i}"), "s", 3000);
            p.list(&format!("k{i}"), "k", 3000);
        }
        p.look(0);
        let mut called: BTreeSet<u64> = BTreeSet::new();
        for i in 0..40 {
            let own = p.cast(&format!("w{i}"));
            assert!(own.len() <= 7 && !own.is_empty(), "{own:?}");
            assert!(own.iter().all(|n| n % 2 == 1), "of its zone: {own:?}");
            called.extend(own);
            let keyed = p.cast(&format!("k{i}"));
            assert!(keyed.len() <= 7 && keyed.iter().any(|n| n % 2 == 0), "{keyed:?}");
        }
        assert_eq!(called.len(), 30, "no node of the zone is left out");
        assert!(is_nothing(&p.look(200)), "what was told is not told again");
    }

    #[test]
    fn warm_is_told_once_the_list_must_show_it() {
        let mut p = Play::new(4);
        p.list("w", "s", 3000);
        p.look(0);
        p.list("w", "s", 2200);
        assert!(is_nothing(&p.look(800)));
        p.list("w", "s", 0);
        assert_eq!(p.look(2300).warm, ["w"]);
        assert_eq!(p.stage.workers["w"].warmup_ms, 0);
        assert!(is_nothing(&p.look(500)));
        p.list("w", "s", 3000);
        let cast = p.cast("w");
        assert_eq!(p.look(500).put.len(), 1, "cold again, the same life");
        assert_eq!((p.cast("w"), p.stage.warmup_groups.len()), (cast, 1));
    }

    #[test]
    fn a_cold_worker_keeps_its_cast_whoever_ends() {
        let mut p = Play::new(8);
        p.list("w", "s", 3000);
        p.look(0);
        let cast = p.cast("w");
        // A herd ends and is back as somebody new; a new leader tells again.
        for n in &mut p.callers {
            n.id += 100;
        }
        p.casting.begin();
        p.list("w", "s", 2800);
        assert_eq!(p.look(200).put.len(), 1);
        assert_eq!(p.cast("w"), cast, "no second shares within one cold time");
        p.list("w", "s", 0);
        p.look(3000);
        assert_eq!(p.look(1200).warm.len(), 0);
        p.list("w", "s", 3000);
        p.look(500);
        assert!(
            p.cast("w").iter().all(|n| *n > 100),
            "the next time others have them"
        );
    }

    #[test]
    fn a_new_leader_tells_of_a_worker_that_turned_cold_again() {
        let mut p = Play::new(4);
        p.list("w", "s", 3000);
        p.look(0);
        p.casting.begin();
        p.list("w", "s", 2900);
        assert_eq!(p.look(9000).put.len(), 1);
        p.casting.begin();
        p.list("w", "s", 0);
        assert!(is_nothing(&p.look(9000)), "the list may be behind");
        assert_eq!(p.look(1200).warm, ["w"]);
    }

    #[test]
    fn a_zone_taken_back_is_cold_until_the_list_could_show_otherwise() {
        let mut p = Play::new(4);
        p.list("w", "s", 0);
        p.look(0);
        for begin in [true, false] {
            let zone = "z1".into();
            p.log(ChangeKind::Evacuate(EvacuationChange { zone, begin }));
        }
        assert!(p.stage.is_warmup_unknown(&p.stage.workers["w"]));
        assert!(p.cast("w").is_empty(), "nobody, until a cast is told");
        assert_eq!(p.look(100).put[0].warmup_ms, 3000);
        assert_eq!(p.cast("w").len(), 2);
        // Another change in the meantime does not make it warm.
        p.list("w", "s", 0);
        if let Some(row) = p.list.get_mut("w") {
            row.draining = true;
        }
        assert!(p.look(500).put[0].warmup_ms >= 2500);
        assert!(is_nothing(&p.look(300)));
        assert_eq!(p.look(1000).warm, ["w"]);
    }

    #[test]
    fn a_list_read_before_the_zone_came_back_tells_nothing_of_it() {
        let mut p = Play::new(4);
        p.list("w", "s", 0);
        p.look(0);
        let read_at = p.stage.index;
        for begin in [true, false] {
            let zone = "z1".into();
            p.log(ChangeKind::Evacuate(EvacuationChange { zone, begin }));
        }
        let late = WorkersChange {
            put: p.list.values().cloned().collect(),
            as_of: read_at,
            ..Default::default()
        };
        p.log(ChangeKind::Workers(late));
        assert!(p.stage.is_warmup_unknown(&p.stage.workers["w"]));
    }
}
