//! Settings from command-line flags and environment variables, validated as a whole.
//!
//! Every setting `--some-name` can also be given as `LABURNUM_SOME_NAME`; the flag takes precedence.
//! All validation errors are reported together. Secrets come from a file or from the environment and
//! never from a flag, since the flags of a process are visible to every user of a VM.

mod control;
mod daemon;
mod node;

use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;

use argh::{EarlyExit, FromArgs};

use crate::error::{Error, Result};
use crate::wire::Secret;

pub use control::{ControlArgs, ControlSettings};
pub use daemon::{Daemon, ReloadSignal, Signals, StopSignal};
pub use node::{NodeArgs, NodeSettings};

/// Prefix of every environment variable.
pub const ENV_PREFIX: &str = "LABURNUM_";

/// Exit code for invalid flags or settings.
pub const EXIT_USAGE: i32 = 2;

/// Validation errors of the settings, one line for each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Errors(Vec<String>);

impl Errors {
    /// Returns the lines.
    pub fn lines(&self) -> &[String] {
        &self.0
    }
}

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl std::error::Error for Errors {}

/// Reads settings and collects validation errors.
///
/// ```
/// use laburnumtide::settings::Checker;
///
/// let env = |name: &str| (name == "LABURNUM_ZONE").then(|| "zone-a".to_owned());
/// let mut checker = Checker::new(env);
/// let zone = checker.required::<String>("zone", None);
/// let port = checker.default("port", Some("80x".to_owned()), 8080u16);
/// assert_eq!(zone.as_deref(), Some("zone-a"));
/// assert_eq!(port, 8080);
/// assert_eq!(checker.finish().unwrap_err().lines().len(), 1);
/// ```
pub struct Checker<E> {
    env: E,
    errors: Vec<String>,
}

impl Checker<fn(&str) -> Option<String>> {
    /// Creates a checker that reads the process's environment variables.
    pub fn from_env() -> Self {
        Checker::new(|name| std::env::var(name).ok())
    }
}

impl<E: Fn(&str) -> Option<String>> Checker<E> {
    /// Creates a checker that looks up environment variables with `env`.
    pub fn new(env: E) -> Self {
        Checker {
            env,
            errors: Vec::new(),
        }
    }

    /// Returns the name of the environment variable for the setting `name`.
    pub fn variable(name: &str) -> String {
        format!("{ENV_PREFIX}{}", name.replace('-', "_").to_uppercase())
    }

    /// Records an error.
    pub fn reject(&mut self, message: impl Into<String>) {
        self.errors.push(message.into());
    }

    fn raw(&self, name: &str, flag: Option<String>) -> Option<(String, String)> {
        let variable = Self::variable(name);
        match flag {
            Some(value) => Some((format!("--{name}"), value)),
            None => (self.env)(&variable).map(|value| (variable, value)),
        }
    }

    fn parse<T>(&mut self, source: &str, value: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        match value.trim().parse() {
            Ok(parsed) => Some(parsed),
            Err(e) => {
                self.reject(format!("{source}: {value:?}: {e}"));
                None
            }
        }
    }

    /// Reads an optional setting.
    pub fn optional<T>(&mut self, name: &str, flag: Option<String>) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let (source, value) = self.raw(name, flag)?;
        self.parse(&source, &value)
    }

    /// Reads a setting with a default value.
    pub fn default<T>(&mut self, name: &str, flag: Option<String>, default: T) -> T
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        self.optional(name, flag).unwrap_or(default)
    }

    /// Reads a required setting; returns `None` only if an error was recorded.
    pub fn required<T>(&mut self, name: &str, flag: Option<String>) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let Some((source, value)) = self.raw(name, flag) else {
            self.reject(format!(
                "--{name} or {} must be given",
                Self::variable(name)
            ));
            return None;
        };
        self.parse(&source, &value)
    }

    /// Reads a comma-separated list.
    pub fn list<T>(&mut self, name: &str, flag: Option<String>) -> Vec<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let Some((source, value)) = self.raw(name, flag) else {
            return Vec::new();
        };
        let parts = value.split(',').filter(|part| !part.trim().is_empty());
        parts.filter_map(|part| self.parse(&source, part)).collect()
    }

    /// Reads a secret from the file given by the setting `name-file`, or else from the environment
    /// variable of `name`.
    pub fn secret(&mut self, name: &str, file_flag: Option<String>) -> Option<Secret> {
        let file_name = format!("{name}-file");
        let variable = Self::variable(name);
        let (source, secret) = match self.raw(&file_name, file_flag) {
            Some((source, path)) => (source, Secret::read(&PathBuf::from(path))),
            None => match (self.env)(&variable) {
                Some(value) => (variable, Secret::new(value.as_bytes())),
                None => {
                    self.reject(format!("--{file_name} or {variable} must be given"));
                    return None;
                }
            },
        };
        match secret {
            Ok(secret) => Some(secret),
            Err(e) => {
                self.reject(format!("{source}: {e}"));
                None
            }
        }
    }

    /// Finishes the validation.
    ///
    /// # Errors
    ///
    /// Returns every recorded error.
    pub fn finish(self) -> std::result::Result<(), Errors> {
        if self.errors.is_empty() {
            Ok(())
        } else {
            Err(self.into_errors())
        }
    }

    /// Returns the recorded errors, for a caller that can't continue without a missing setting.
    pub fn into_errors(self) -> Errors {
        Errors(self.errors)
    }
}

/// A duration in settings, written like `500ms` or `5s`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DurationSetting(pub std::time::Duration);

impl FromStr for DurationSetting {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        humantime::parse_duration(s)
            .map(DurationSetting)
            .map_err(|e| Error::invalid(e.to_string()))
    }
}

impl fmt::Display for DurationSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.0).fmt(f)
    }
}

/// Parses the command line; prints help and exits if help is requested.
///
/// Invalid flags end the process with [`EXIT_USAGE`].
pub fn parse_args<T: FromArgs>(name: &str) -> T {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match T::from_args(&[name], &args) {
        Ok(parsed) => parsed,
        Err(EarlyExit { output, status }) => {
            if status.is_ok() {
                println!("{output}");
                std::process::exit(0);
            }
            eprintln!("{output}");
            std::process::exit(EXIT_USAGE);
        }
    }
}

/// Returns the settings, or prints every error and ends the process with [`EXIT_USAGE`].
pub fn unwrap_or_exit<T>(settings: std::result::Result<T, Errors>) -> T {
    settings.unwrap_or_else(|errors| {
        for line in errors.lines() {
            eprintln!("error: {line}");
        }
        std::process::exit(EXIT_USAGE);
    })
}
