//! The command line of `laburnumctl`.

use argh::FromArgs;

/// Check, submit and follow release notes; show the fleet; explain refusals.
#[derive(FromArgs, Clone, Debug)]
#[argh(
    note = "Every option --some-name can also be given as LABURNUM_SOME_NAME.",
    error_code(0, "done"),
    error_code(1, "no control process could be reached, or it failed"),
    error_code(2, "wrong options or settings"),
    error_code(3, "the note is invalid; each error is listed with its location"),
    error_code(4, "another note has this number"),
    error_code(5, "committed, but not yet in force on every node when the wait ended")
)]
pub struct Args {
    /// operator addresses of the control processes, separated by commas
    #[argh(option)]
    pub controls: Option<String>,

    /// file with the operator secret (else LABURNUM_OPERATOR_SECRET)
    #[argh(option)]
    pub operator_secret_file: Option<String>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,

    /// print the version and exit
    #[argh(switch)]
    pub version: bool,

    /// what to do
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(FromArgs, Clone, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Check a note.
    Check(Check),
    /// Submit a note.
    Submit(Submit),
    /// Show one note.
    Note(NoteArgs),
    /// Show the fleet.
    Status(StatusArgs),
    /// Explain refusals.
    Explain(Explain),
    /// Generate a key.
    Key(KeyArgs),
    /// Count attempts by their fate.
    Attempts(AttemptsArgs),
}

/// Check a release note without contacting the fleet.
#[derive(FromArgs, Clone, Debug)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// file with the note
    #[argh(positional)]
    pub file: String,

    /// notes that were accepted before, in order; the note is then checked against their result
    #[argh(option)]
    pub after: Vec<String>,
}

/// Submit a release note and wait until it is in force on every node.
#[derive(FromArgs, Clone, Debug)]
#[argh(subcommand, name = "submit")]
pub struct Submit {
    /// file with the note
    #[argh(positional)]
    pub file: String,

    /// how long to wait, for example 30s (default 30s)
    #[argh(option)]
    pub wait: Option<String>,
}

/// Show the progress of a release note.
#[derive(FromArgs, Clone, Debug)]
#[argh(subcommand, name = "note")]
pub struct NoteArgs {
    /// number of the note
    #[argh(positional)]
    pub number: u64,
}

/// Show the control processes and the registered nodes.
#[derive(FromArgs, Clone, Debug)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// Explain a refusal reason and what to do, or list all reasons.
#[derive(FromArgs, Clone, Debug)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the reason, as in the header laburnum-reason
    #[argh(positional)]
    pub reason: Option<String>,
}

/// Generate a random key and print it once, with the lines for a release note.
#[derive(FromArgs, Clone, Debug)]
#[argh(subcommand, name = "key")]
pub struct KeyArgs {
    /// name of the key
    #[argh(positional)]
    pub name: String,

    /// account of the key
    #[argh(positional)]
    pub account: String,
}

/// Count the attempts in logs of nodes: a request, refused by egresses by reason, and the ends of
/// requests.
#[derive(FromArgs, Clone, Debug)]
#[argh(subcommand, name = "attempts")]
pub struct AttemptsArgs {
    /// file with the logs of one or more nodes (default: standard input)
    #[argh(positional)]
    pub file: Option<String>,
}
