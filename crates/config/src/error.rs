//! Errors of the settings file and of the operator's configuration. Their texts are what a
//! reader of the log, or the operator, is told.

/// Why a configuration is invalid: the field at fault and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// The body is no JSON of the expected form; the reason names line and column.
    #[error("the body cannot be read: {0}")]
    Unreadable(String),
    /// A field breaks a rule of its own; the text names it.
    #[error("{0}")]
    Field(String),
    /// A field of a route is invalid.
    #[error("AccessPoints.Rules `{route}`: {field} {problem}")]
    Route {
        /// The route's name.
        route: String,
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        problem: String,
    },
    /// Two routes have the same host and prefix.
    #[error("AccessPoints.Rules `{route}`: Host {host} and PathPrefix {prefix} are taken by another route")]
    DuplicateRoute {
        /// The later one.
        route: String,
        /// Their host.
        host: String,
        /// Their prefix.
        prefix: String,
    },
    /// A change names a list that is not there.
    #[error("{0} is no list of named items")]
    UnknownList(String),
    /// A list is something else.
    #[error("{0} is no list")]
    NotAList(String),
    /// A list holds something that is no item.
    #[error("{0} holds something that is no item")]
    NotAnItem(&'static str),
    /// An item lacks the field that names it.
    #[error("{list} holds {item} without a {field}")]
    Unnamed {
        /// The list.
        list: String,
        /// What kind of item.
        item: &'static str,
        /// The field.
        field: &'static str,
    },
}

/// Why a settings file is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The text is no TOML of the expected form.
    #[error("settings line {line}: {reason}")]
    Unreadable {
        /// The line, from 1; 0 if it is not known.
        line: usize,
        /// What is wrong there.
        reason: String,
    },
    /// A field breaks a rule; the text names it.
    #[error("settings: {0}")]
    Field(String),
}
