//! The kernel: what all parts share, and the plug-ins that register themselves.

use config::Settings;
use control_state::ControlState;
use std::any::{Any, TypeId};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// A value that its one owner publishes and everybody else only reads.
pub struct Published<T>(RefCell<Arc<T>>);

impl<T> Published<T> {
    pub fn new(value: T) -> Self {
        Published(RefCell::new(Arc::new(value)))
    }
    pub fn get(&self) -> Arc<T> {
        self.0.borrow().clone()
    }
    pub fn set(&self, value: impl Into<Arc<T>>) {
        *self.0.borrow_mut() = value.into();
    }
}

/// What the agreement says of this node at the moment.
#[derive(Clone, Debug, Default)]
pub struct Standing {
    pub id: u64,
    pub cluster: u64,
    pub term: u64,
    pub leader: u64,
    pub is_leader: bool,
    /// Caught up, in this life, with what was committed.
    pub current: bool,
}

/// Everything that the parts of one process share.
pub struct House {
    pub settings: Published<Settings>,
    pub settings_path: String,
    /// Pause between two lines of counters in the log, in seconds.
    pub counters_every_s: u64,
    pub stage: Published<ControlState>,
    pub members: Published<Vec<gossip::Member>>,
    /// Round trips to sites, in ms.
    pub rtt: Published<BTreeMap<String, f64>>,
    pub standing: Published<Standing>,
    /// The address of the voter that this node follows, if it does not vote.
    pub source: Published<Option<String>>,
    /// When the core was last heard, by the steady clock.
    pub contact: Cell<u64>,
    /// Set once the process has been told to end.
    pub leaving: Cell<bool>,
    /// Set once a process that ends can take no more requests.
    pub closing: Cell<bool>,
    pub counters: Counters,
    started: Instant,
    parts: RefCell<HashMap<TypeId, Box<dyn Any>>>,
}

impl House {
    pub fn new(settings: Settings, settings_path: String, counters_every_s: u64) -> Rc<House> {
        Rc::new(House {
            settings: Published::new(settings),
            settings_path,
            counters_every_s,
            stage: Published::new(ControlState::default()),
            members: Published::new(Vec::new()),
            rtt: Published::new(BTreeMap::new()),
            standing: Published::new(Standing::default()),
            source: Published::new(None),
            contact: Cell::new(1),
            leaving: Cell::new(false),
            closing: Cell::new(false),
            counters: Counters::default(),
            started: Instant::now(),
            parts: RefCell::new(HashMap::new()),
        })
    }

    /// Milliseconds of the steady clock since the start, never 0.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    /// Makes a part known to the others, by its type.
    pub fn put<T: 'static>(&self, part: T) {
        self.parts.borrow_mut().insert(TypeId::of::<T>(), Box::new(part));
    }

    /// A part that another plug-in has put.
    pub fn get<T: Clone + 'static>(&self) -> Option<T> {
        self.parts
            .borrow()
            .get(&TypeId::of::<T>())?
            .downcast_ref::<T>()
            .cloned()
    }

    /// Whether this node may ever lead: only those with a disk vote, and the
    /// duties of a leader wake nobody else.
    pub fn may_lead(&self) -> bool {
        self.settings.get().own_entity.data_directory.is_some()
    }

    /// Whether this node takes clients: it is current, it has a configuration
    /// and it is not about to end.
    pub fn is_open(&self) -> bool {
        !self.leaving.get() && self.can_serve()
    }

    /// Whether this node can serve a request that has reached it.
    pub fn can_serve(&self) -> bool {
        self.standing.get().current && self.stage.get().configuration.is_some()
    }
}

/// Counts of what happened, by name; read by `status` and the log.
#[derive(Default)]
pub struct Counters(RefCell<BTreeMap<&'static str, u64>>);

impl Counters {
    pub fn add(&self, name: &'static str) {
        *self.0.borrow_mut().entry(name).or_default() += 1;
    }
    pub fn all(&self) -> BTreeMap<&'static str, u64> {
        self.0.borrow().clone()
    }
}

/// A part of the program; each registers itself with `inventory::submit!`.
pub struct Plugin {
    pub name: &'static str,
    /// Parts start in this order.
    pub order: u32,
    pub start: fn(&Rc<House>) -> Result<(), String>,
}

inventory::collect!(Plugin);

/// Starts every registered part.
pub fn start_all(house: &Rc<House>) -> Result<(), String> {
    start_all_but(house, &[])
}

/// Starts every registered part but those named.
pub fn start_all_but(house: &Rc<House>, left_out: &[&str]) -> Result<(), String> {
    let mut plugins: Vec<&Plugin> = inventory::iter::<Plugin>.into_iter().collect();
    plugins.sort_by_key(|p| p.order);
    for plugin in plugins.into_iter().filter(|p| !left_out.contains(&p.name)) {
        (plugin.start)(house).map_err(|e| format!("{}: {e}", plugin.name))?;
    }
    Ok(())
}
