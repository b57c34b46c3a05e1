//! Errors in the settings file and in the operator's configuration. Their texts appear in the log
//! or are shown to the operator.

/// The reason why a configuration is invalid: the field at fault and the problem with it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// The body is not JSON of the expected form. The reason names the line and column.
    #[error("the body cannot be read: {0}")]
    Unreadable(String),
    /// A field has an invalid value. The text names the field.
    #[error("{0}")]
    Field(String),
    /// A field of a route is invalid.
    #[error("AccessPoints.Rules `{route}`: {field} {problem}")]
    Route {
        /// The route's name.
        route: String,
        /// The field.
        field: &'static str,
        /// The problem with the field.
        problem: String,
    },
    /// Two routes have the same host and prefix.
    #[error("AccessPoints.Rules `{route}`: Host {host} and PathPrefix {prefix} are taken by another route")]
    DuplicateRoute {
        /// Name of the later route.
        route: String,
        /// Host of both routes.
        host: String,
        /// Path prefix of both routes.
        prefix: String,
    },
    /// A modification names an unknown list.
    #[error("{0} is no list of named items")]
    UnknownList(String),
    /// The value of a list field is not a list.
    #[error("{0} is no list")]
    NotAList(String),
    /// A list holds a value that is not an item.
    #[error("{0} holds something that is no item")]
    NotAnItem(&'static str),
    /// An item lacks the field that names it.
    #[error("{list} holds {item} without a {field}")]
    Unnamed {
        /// The list.
        list: String,
        /// The kind of item.
        item: &'static str,
        /// The missing field.
        field: &'static str,
    },
}

/// The reason why a settings file is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The text is not TOML of the expected form.
    #[error("settings line {line}: {reason}")]
    Unreadable {
        /// Number of the line, from 1, or 0 if it is not known.
        line: usize,
        /// The problem in this line.
        reason: String,
    },
    /// A field has an invalid value. The text names the field.
    #[error("settings: {0}")]
    Field(String),
}
