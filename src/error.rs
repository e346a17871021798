//! The error type shared by every module.

use std::fmt;

/// A result with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// The kind of an error, for callers that handle kinds differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The input is malformed or breaks a rule.
    Invalid,
    /// Reading or writing a file or socket failed.
    Io,
    /// Stored bytes fail their checksum or contradict each other.
    Corrupt,
    /// Authentication failed.
    Denied,
    /// The peer or resource is not available at present; a retry may succeed.
    Unavailable,
    /// The request conflicts with state that was committed earlier.
    Conflict,
}

/// An error with its category and a message for operators.
///
/// Messages never contain secrets: no key, fleet secret or request body.
#[derive(Debug)]
pub struct Error {
    category: Category,
    message: String,
    source: Option<std::io::Error>,
}

impl Error {
    /// Creates an error of `category`.
    pub fn new(category: Category, message: impl Into<String>) -> Self {
        Error {
            category,
            message: message.into(),
            source: None,
        }
    }

    /// Creates an error for malformed input.
    pub fn invalid(message: impl Into<String>) -> Self {
        Error::new(Category::Invalid, message)
    }

    /// Creates an error for damaged stored bytes.
    pub fn corrupt(message: impl Into<String>) -> Self {
        Error::new(Category::Corrupt, message)
    }

    /// Creates an error for a peer or resource that is not available.
    pub fn unavailable(message: impl Into<String>) -> Self {
        Error::new(Category::Unavailable, message)
    }

    /// Wraps an I/O error with the action that failed.
    pub fn io(action: impl Into<String>, source: std::io::Error) -> Self {
        Error {
            category: Category::Io,
            message: action.into(),
            source: Some(source),
        }
    }

    /// Returns the category.
    pub fn category(&self) -> Category {
        self.category
    }

    /// Returns true for an I/O error that reports a full disk.
    pub fn is_disk_full(&self) -> bool {
        self.source
            .as_ref()
            .is_some_and(|e| e.kind() == std::io::ErrorKind::StorageFull)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.source {
            Some(source) => write!(f, "{}: {}", self.message, source),
            None => f.write_str(&self.message),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.source
            .as_ref()
            .map(|e| e as &(dyn std::error::Error + 'static))
    }
}

impl From<std::io::Error> for Error {
    fn from(source: std::io::Error) -> Self {
        Error::io("I/O error", source)
    }
}
