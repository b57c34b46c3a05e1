//! The kernel: the context that all components of one process share, and their start-up.

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

/// A value that only its owner publishes and that all other components read.
pub struct Published<T>(RefCell<Arc<T>>);

impl<T> Published<T> {
    /// Creates the publication with its first value.
    pub fn new(value: T) -> Self {
        Published(RefCell::new(Arc::new(value)))
    }

    /// Returns the newest value.
    pub fn get(&self) -> Arc<T> {
        self.0.borrow().clone()
    }

    /// Publishes a value. Only the owner may call this.
    pub fn set(&self, value: impl Into<Arc<T>>) {
        *self.0.borrow_mut() = value.into();
    }
}

/// The current status of this node in Raft.
#[derive(Clone, Debug, Default)]
pub struct NodeStatus {
    /// The node ID.
    pub id: u64,
    /// The cluster that the node belongs to; 0 for none.
    pub cluster: u64,
    /// The node's current term.
    pub term: u64,
    /// ID of the leader known to the node; 0 for none.
    pub leader_id: u64,
    /// Whether the node is the leader.
    pub is_leader: bool,
    /// Whether the node has caught up with the committed log since its start.
    pub is_current: bool,
}

/// The context that the components of one process share. All components run on one thread.
pub struct NodeContext {
    /// The settings; owned by the shutdown component, which reloads them.
    pub settings: Published<Settings>,
    /// Path of the settings file.
    pub settings_path: String,
    /// Interval between two counter lines in the log, in seconds; 0 disables them.
    pub counters_interval_s: u64,
    /// The control state; owned by the control component.
    pub state: Published<ControlState>,
    /// All nodes that are not removed, this node first; owned by the gossip component.
    pub members: Published<Vec<gossip::Member>>,
    /// Mean round-trip times to sites, in milliseconds; owned by the gossip component.
    pub round_trip_times_ms: Published<BTreeMap<String, f64>>,
    /// The status of this node; owned by the control component.
    pub status: Published<NodeStatus>,
    /// Address of the upstream, the voter that this learner follows; owned by the control
    /// component.
    pub upstream: Published<Option<String>>,
    /// Time of the last contact with the leader, or on the leader with a majority, in
    /// milliseconds.
    pub last_contact_ms: Cell<u64>,
    /// Whether the process is shutting down.
    pub is_shutting_down: Cell<bool>,
    /// Latest deadline that a request may have to be accepted; set when the shutdown begins.
    pub latest_request_deadline: Cell<Option<Instant>>,
    /// Whether a process that is shutting down refuses all further requests.
    pub is_refusing_requests: Cell<bool>,
    /// Event counters.
    pub counters: Counters,
    /// Handlers of messages from other nodes, by kind of payload.
    pub payload_handlers: PayloadHandlers,
    /// Handlers of the parts of reports.
    pub report_handlers: ReportHandlers,
    started_at: Instant,
    components: RefCell<HashMap<TypeId, Box<dyn Any>>>,
}

impl NodeContext {
    /// Creates the context of a process that has just started.
    pub fn new(settings: Settings, settings_path: String, counters_interval_s: u64) -> Rc<NodeContext> {
        Rc::new(NodeContext {
            settings: Published::new(settings),
            settings_path,
            counters_interval_s,
            state: Published::new(ControlState::default()),
            members: Published::new(Vec::new()),
            round_trip_times_ms: Published::new(BTreeMap::new()),
            status: Published::new(NodeStatus::default()),
            upstream: Published::new(None),
            last_contact_ms: Cell::new(1),
            is_shutting_down: Cell::new(false),
            latest_request_deadline: Cell::new(None),
            is_refusing_requests: Cell::new(false),
            counters: Counters::default(),
            payload_handlers: PayloadHandlers::default(),
            report_handlers: ReportHandlers::default(),
            started_at: Instant::now(),
            components: RefCell::new(HashMap::new()),
        })
    }

    /// Returns the time since the start on the monotonic clock, in milliseconds; never 0.
    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 + 1
    }

    /// Registers a component under its type, so that other components can find it.
    pub fn register_component<T: 'static>(&self, component: T) {
        self.components
            .borrow_mut()
            .insert(TypeId::of::<T>(), Box::new(component));
    }

    /// Returns the component registered under a type.
    pub fn component<T: Clone + 'static>(&self) -> Option<T> {
        let components = self.components.borrow();
        let component = components.get(&TypeId::of::<T>())?;
        component.downcast_ref::<T>().cloned()
    }

    /// Returns whether this node can ever become leader: only nodes with a disk vote. On other
    /// nodes the timers of leader duties do not run.
    pub fn may_lead(&self) -> bool {
        self.settings.get().own_entity.data_directory.is_some()
    }

    /// Returns whether this node accepts clients: it is current, has a configuration and is not
    /// shutting down.
    pub fn is_ready(&self) -> bool {
        !self.is_shutting_down.get() && self.can_serve()
    }

    /// Returns whether this node can serve a request that it has received: it is current and has
    /// a configuration.
    pub fn can_serve(&self) -> bool {
        self.status.get().is_current && self.state.get().configuration.is_some()
    }
}

/// Event counters by name, shown by `status` and in the log.
#[derive(Default)]
pub struct Counters(RefCell<BTreeMap<&'static str, u64>>);

impl Counters {
    /// Increments a counter.
    pub fn increment(&self, name: &'static str) {
        *self.0.borrow_mut().entry(name).or_default() += 1;
    }

    /// Returns all counters.
    pub fn all(&self) -> BTreeMap<&'static str, u64> {
        self.0.borrow().clone()
    }
}

/// The reason why a component cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Listening on a TCP address failed.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// The cause.
        source: std::io::Error,
    },
    /// Listening on a UDP address failed.
    #[error("cannot listen on udp {address}: {source}")]
    ListenUdp {
        /// The address.
        address: SocketAddrV4,
        /// The cause.
        source: std::io::Error,
    },
    /// Listening on the address for clients failed.
    #[error("Network.ListenPoints.Front {address}: {source}")]
    ListenClients {
        /// The address.
        address: SocketAddrV4,
        /// The cause.
        source: std::io::Error,
    },
    /// A component that must start earlier is missing.
    #[error("the {0} component has not been started")]
    MissingComponent(&'static str),
    /// A signal handler cannot be installed.
    #[error("{0}")]
    Signal(#[source] std::io::Error),
    /// The store cannot be opened.
    #[error(transparent)]
    Storage(#[from] crate::storage::OpenError),
    /// The named component failed to start.
    #[error("{name}: {source}")]
    Component {
        /// The component's name.
        name: &'static str,
        /// The cause.
        source: Box<StartError>,
    },
}

/// A component of the program; each registers itself with `inventory::submit!`.
pub struct Component {
    /// The component's name, used in errors.
    pub name: &'static str,
    /// Position in the start-up order; lower values start first.
    pub order: u32,
    /// Starts the component.
    pub start: fn(&Rc<NodeContext>) -> Result<(), StartError>,
}

inventory::collect!(Component);

/// Starts every registered component.
pub fn start_all(context: &Rc<NodeContext>) -> Result<(), StartError> {
    start_all_except(context, &[])
}

/// Starts every registered component except those named in `excluded`.
pub fn start_all_except(context: &Rc<NodeContext>, excluded: &[&str]) -> Result<(), StartError> {
    let mut components: Vec<&Component> = inventory::iter::<Component>.into_iter().collect();
    components.sort_by_key(|c| c.order);
    for component in components.into_iter().filter(|c| !excluded.contains(&c.name)) {
        (component.start)(context).map_err(|source| StartError::Component {
            name: component.name,
            source: Box::new(source),
        })?;
    }
    Ok(())
}
