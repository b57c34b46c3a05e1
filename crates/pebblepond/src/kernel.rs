//! The kernel: what all components of one process share, and how they are started.

use crate::peer_transport::PayloadHandlers;
use crate::reports::ReportHandlers;
use config::Settings;
use control_state::ControlState;
use std::any::{Any, TypeId};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// A value that its one owner publishes and everybody else only reads.
pub struct Published<T>(RefCell<Arc<T>>);

impl<T> Published<T> {
    /// The first value.
    pub fn new(value: T) -> Self {
        Published(RefCell::new(Arc::new(value)))
    }

    /// The newest value.
    pub fn get(&self) -> Arc<T> {
        self.0.borrow().clone()
    }

    /// Publishes a value; for its owner only.
    pub fn set(&self, value: impl Into<Arc<T>>) {
        *self.0.borrow_mut() = value.into();
    }
}

/// What Raft says of this node at the moment.
#[derive(Clone, Debug, Default)]
pub struct NodeStatus {
    /// Its identity.
    pub id: u64,
    /// The cluster that it belongs to; 0 for none.
    pub cluster: u64,
    /// Its term.
    pub term: u64,
    /// The leader that it knows; 0 for none.
    pub leader_id: u64,
    /// It leads.
    pub is_leader: bool,
    /// It has caught up, since its start, with what was committed.
    pub is_current: bool,
}

/// Everything that the components of one process share. All run on one thread.
pub struct NodeContext {
    /// Owned by the shutdown component, which reloads them.
    pub settings: Published<Settings>,
    /// Where they were read from.
    pub settings_path: String,
    /// Pause between two lines of counters in the log, s; 0 for none.
    pub counters_interval_s: u64,
    /// Owned by the control component.
    pub state: Published<ControlState>,
    /// Owned by the gossip component: all nodes that are not removed, this one first.
    pub members: Published<Vec<gossip::Member>>,
    /// Mean round trips to sites, ms; owned by the gossip component.
    pub round_trips: Published<BTreeMap<String, f64>>,
    /// Owned by the control component.
    pub status: Published<NodeStatus>,
    /// The address of the voter that this learner takes the log from; owned by the control
    /// component.
    pub upstream: Published<Option<String>>,
    /// When a leader, or as the leader a majority, was last heard, ms.
    pub last_contact: Cell<u64>,
    /// Set once the process has been told to end.
    pub shutting_down: Cell<bool>,
    /// By when a request must have ended to be taken; set once the process has been told to end.
    pub latest_deadline: Cell<Option<Instant>>,
    /// Set once a process that shuts down can take no more requests.
    pub refusing_requests: Cell<bool>,
    /// Counts of what happened.
    pub counters: Counters,
    /// Who handles which messages of other nodes.
    pub payload_handlers: PayloadHandlers,
    /// Who handles which parts of reports.
    pub report_handlers: ReportHandlers,
    started: Instant,
    components: RefCell<HashMap<TypeId, Box<dyn Any>>>,
}

impl NodeContext {
    /// The context of a process that has just started.
    pub fn new(settings: Settings, settings_path: String, counters_interval_s: u64) -> Rc<NodeContext> {
        Rc::new(NodeContext {
            settings: Published::new(settings),
            settings_path,
            counters_interval_s,
            state: Published::new(ControlState::default()),
            members: Published::new(Vec::new()),
            round_trips: Published::new(BTreeMap::new()),
            status: Published::new(NodeStatus::default()),
            upstream: Published::new(None),
            last_contact: Cell::new(1),
            shutting_down: Cell::new(false),
            latest_deadline: Cell::new(None),
            refusing_requests: Cell::new(false),
            counters: Counters::default(),
            payload_handlers: PayloadHandlers::default(),
            report_handlers: ReportHandlers::default(),
            started: Instant::now(),
            components: RefCell::new(HashMap::new()),
        })
    }

    /// Milliseconds of the monotonic clock since the start, never 0.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    /// Makes a component known to the others, by its type.
    pub fn put<T: 'static>(&self, component: T) {
        self.components
            .borrow_mut()
            .insert(TypeId::of::<T>(), Box::new(component));
    }

    /// What another component has put.
    pub fn get<T: Clone + 'static>(&self) -> Option<T> {
        let components = self.components.borrow();
        let component = components.get(&TypeId::of::<T>())?;
        component.downcast_ref::<T>().cloned()
    }

    /// Whether this node may ever lead: only those with a disk vote, and the duties of a
    /// leader wake nobody else.
    pub fn may_lead(&self) -> bool {
        self.settings.get().own_entity.data_directory.is_some()
    }

    /// Whether this node takes clients: it is current, it has a configuration and it does not
    /// shut down.
    pub fn is_ready(&self) -> bool {
        !self.shutting_down.get() && self.can_serve()
    }

    /// Whether this node can serve a request that has reached it.
    pub fn can_serve(&self) -> bool {
        self.status.get().is_current && self.state.get().configuration.is_some()
    }
}

/// Counts of what happened, by name; read by `status` and the log.
#[derive(Default)]
pub struct Counters(RefCell<BTreeMap<&'static str, u64>>);

impl Counters {
    /// Counts one.
    pub fn add(&self, name: &'static str) {
        *self.0.borrow_mut().entry(name).or_default() += 1;
    }

    /// All counts so far.
    pub fn all(&self) -> BTreeMap<&'static str, u64> {
        self.0.borrow().clone()
    }
}

/// Why a component cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A TCP address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// Why.
        source: std::io::Error,
    },
    /// A UDP address cannot be listened on.
    #[error("cannot listen on udp {address}: {source}")]
    ListenUdp {
        /// The address.
        address: SocketAddrV4,
        /// Why.
        source: std::io::Error,
    },
    /// The clients' address cannot be listened on.
    #[error("Network.ListenPoints.Front {address}: {source}")]
    ListenClients {
        /// The address.
        address: SocketAddrV4,
        /// Why.
        source: std::io::Error,
    },
    /// Another component has to start first.
    #[error("the {0} is not there")]
    Missing(&'static str),
    /// A signal cannot be handled.
    #[error("{0}")]
    Signal(#[source] std::io::Error),
    /// The store cannot be opened.
    #[error(transparent)]
    Storage(#[from] crate::storage::OpenError),
    /// A component of this name has failed.
    #[error("{name}: {source}")]
    Component {
        /// Its name.
        name: &'static str,
        /// Why.
        source: Box<StartError>,
    },
}

/// A component of the program; each registers itself with `inventory::submit!`.
pub struct Component {
    /// Its name, in errors.
    pub name: &'static str,
    /// Components start in this order.
    pub order: u32,
    /// Starts it.
    pub start: fn(&Rc<NodeContext>) -> Result<(), StartError>,
}

inventory::collect!(Component);

/// Starts every registered component.
pub fn start_all(context: &Rc<NodeContext>) -> Result<(), StartError> {
    start_all_but(context, &[])
}

/// Starts every registered component but those named.
pub fn start_all_but(context: &Rc<NodeContext>, left_out: &[&str]) -> Result<(), StartError> {
    let mut components: Vec<&Component> = inventory::iter::<Component>.into_iter().collect();
    components.sort_by_key(|c| c.order);
    for component in components.into_iter().filter(|c| !left_out.contains(&c.name)) {
        (component.start)(context).map_err(|source| StartError::Component {
            name: component.name,
            source: Box::new(source),
        })?;
    }
    Ok(())
}
