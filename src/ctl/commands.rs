//! The commands and their output.

use std::fs::File;
use std::io::BufReader;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::json;

use super::args::{Args, AttemptsArgs, Check, Command, Explain, KeyArgs, NoteArgs, Submit};
use super::attempts::AttemptReport;
use super::client::{Client, SubmitResponse};
use crate::config::{Config, Note, NoteError};
use crate::control::api::{Invalid, LocatedError, NoteState, Status};
use crate::error::{Error, Result};
use crate::ids::{AccountName, KeyDigest, KeyName};
use crate::outcome::Reason;
use crate::settings::{Checker, DurationSetting, unwrap_or_exit};
use crate::units::NoteNumber;

/// Default time that `submit` waits for the note to be in force.
const SUBMIT_WAIT: Duration = Duration::from_secs(30);

/// Maximum wait for a response in commands that only read.
const READ_WAIT: Duration = Duration::from_secs(5);

/// Interval at which a submitted note is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Random bytes in a generated key.
const KEY_BYTES: usize = 32;

/// Exit codes of `laburnumctl`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(i32)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// No control process could be reached, or the call failed.
    Failed = 1,
    /// Options or settings are invalid.
    Usage = 2,
    /// The note is invalid.
    Invalid = 3,
    /// Another note with this number was committed.
    Conflict = 4,
    /// The note was committed, but was not in force on every node when the wait ended.
    Pending = 5,
}

/// Runs a command and returns its exit code.
pub async fn run(args: Args) -> Exit {
    let json = args.json;
    let result = match &args.command {
        None => return print_version_or_usage(&args),
        Some(Command::Check(check)) => run_check(check, json),
        Some(Command::Explain(explain)) => run_explain(explain, json),
        Some(Command::Key(key)) => run_key(key, json),
        Some(Command::Attempts(attempts)) => run_attempts(attempts, json),
        Some(Command::Submit(submit)) => run_submit(&args, submit).await,
        Some(Command::Note(note)) => run_note(&args, note).await,
        Some(Command::Status(_)) => run_status(&args).await,
    };
    result.unwrap_or_else(|e| {
        if json {
            print_json(&json!({ "error": e.to_string() }));
        } else {
            eprintln!("error: {e}");
        }
        Exit::Failed
    })
}

fn print_version_or_usage(args: &Args) -> Exit {
    if args.version {
        println!("laburnumctl {}", env!("CARGO_PKG_VERSION"));
        return Exit::Done;
    }
    eprintln!("a command is required; see laburnumctl --help");
    Exit::Usage
}

fn print_json<T: Serialize>(value: &T) {
    let text = serde_json::to_string(value).expect("API messages have text keys only");
    println!("{text}");
}

fn connect(args: &Args) -> Client {
    let mut checker = Checker::from_env();
    let addrs = checker.list("controls", args.controls.clone());
    if addrs.is_empty() {
        checker.reject("--controls or LABURNUM_CONTROLS must name at least one address");
    }
    let secret = checker.secret("operator-secret", args.operator_secret_file.clone());
    let secret = unwrap_or_exit(checker.finish().map(|()| secret));
    Client::new(addrs, secret.expect("a missing secret is an error above"))
}

fn read_file(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|e| Error::io(format!("read {path}"), e))
}

fn print_errors(file: &str, errors: &[LocatedError], json: bool) {
    if json {
        let errors = errors.to_vec();
        return print_json(&Invalid { errors });
    }
    for e in errors {
        eprintln!("{file}:{}:{}: {}", e.line, e.column, e.message);
    }
}

fn check_note(args: &Check) -> Result<std::result::Result<Note, (String, Vec<NoteError>)>> {
    let mut config = Config::new();
    for file in &args.after {
        let applied = Note::parse(&read_file(file)?).and_then(|note| config.apply(&note));
        if let Err(errors) = applied {
            return Ok(Err((file.clone(), errors)));
        }
    }
    let note = match Note::parse(&read_file(&args.file)?) {
        Ok(note) => note,
        Err(errors) => return Ok(Err((args.file.clone(), errors))),
    };
    if has_base_config(args, &note)
        && let Err(errors) = config.apply(&note)
    {
        return Ok(Err((args.file.clone(), errors)));
    }
    Ok(Ok(note))
}

/// Returns true if the configuration before `note` is known, so that references can be checked.
fn has_base_config(args: &Check, note: &Note) -> bool {
    !args.after.is_empty() || note.number() == NoteNumber(1)
}

fn run_check(args: &Check, json: bool) -> Result<Exit> {
    match check_note(args)? {
        Ok(note) if json => {
            print_json(&json!({ "number": note.number(), "valid": true }));
            Ok(Exit::Done)
        }
        Ok(note) => {
            let scope = match has_base_config(args, &note) {
                true => "",
                false => " by itself; name the notes before it with --after to check references",
            };
            println!("note {} is valid{scope}", note.number());
            Ok(Exit::Done)
        }
        Err((file, errors)) => {
            let errors: Vec<LocatedError> = errors.into_iter().map(Into::into).collect();
            print_errors(&file, &errors, json);
            Ok(Exit::Invalid)
        }
    }
}

fn run_explain(args: &Explain, json: bool) -> Result<Exit> {
    let reasons = match &args.reason {
        None => Reason::ALL.to_vec(),
        Some(code) => match code.parse() {
            Ok(reason) => vec![reason],
            Err(e) => {
                eprintln!("error: {e}; omit the reason to list all of them");
                return Ok(Exit::Usage);
            }
        },
    };
    for reason in reasons {
        if json {
            print_json(&json!({
                "reason": reason.code(),
                "status": reason.status().as_u16(),
                "may_have_run": reason.may_have_run(),
                "meaning": reason.meaning(),
                "action": reason.action(),
            }));
            continue;
        }
        let ran = match reason.may_have_run() {
            true => "unknown: the request may have run",
            false => "not run",
        };
        println!("{reason} (status {}, {ran})", reason.status().as_u16());
        println!("  {}", reason.meaning());
        println!("  {}", reason.action());
    }
    Ok(Exit::Done)
}

fn run_key(args: &KeyArgs, json: bool) -> Result<Exit> {
    let name: KeyName = args.name.parse()?;
    let account: AccountName = args.account.parse()?;
    let bytes: [u8; KEY_BYTES] = rand::random();
    let key: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
    let digest = KeyDigest::of(key.as_bytes());
    if json {
        print_json(&json!({
            "key": key, "name": name, "account": account, "digest": digest
        }));
        return Ok(Exit::Done);
    }
    println!("# Give this key to the caller; it is shown only here: {key}");
    println!("[[added.keys]]");
    println!("name = \"{name}\"");
    println!("account = \"{account}\"");
    println!("digest = \"{digest}\"");
    Ok(Exit::Done)
}

fn run_attempts(args: &AttemptsArgs, json: bool) -> Result<Exit> {
    let report = match &args.file {
        Some(path) => {
            let file = File::open(path).map_err(|e| Error::io(format!("read {path}"), e))?;
            AttemptReport::read(BufReader::new(file))?
        }
        None => AttemptReport::read(std::io::stdin().lock())?,
    };
    match json {
        true => print_json(&report),
        false => print!("{report}"),
    }
    Ok(Exit::Done)
}

async fn run_submit(args: &Args, submit: &Submit) -> Result<Exit> {
    let text = read_file(&submit.file)?;
    let mut checker = Checker::from_env();
    let wait = checker.default("wait", submit.wait.clone(), DurationSetting(SUBMIT_WAIT));
    let DurationSetting(wait) = unwrap_or_exit(checker.finish().map(|()| wait));
    if let Err(errors) = Note::parse(&text) {
        let errors: Vec<LocatedError> = errors.into_iter().map(Into::into).collect();
        print_errors(&submit.file, &errors, args.json);
        return Ok(Exit::Invalid);
    }
    let start = Instant::now();
    let mut client = connect(args);
    match client.submit(&text, wait).await? {
        SubmitResponse::Committed(state) => {
            wait_in_force(&mut client, state, wait, start, args.json).await
        }
        SubmitResponse::Conflict(conflict) => {
            if args.json {
                print_json(&conflict);
            } else {
                let title = conflict.title.as_deref().unwrap_or("(no title)");
                eprintln!(
                    "error: number {} is taken by another note: {title}; the next number is {}",
                    conflict.number, conflict.next
                );
            }
            Ok(Exit::Conflict)
        }
        SubmitResponse::Invalid(invalid) => {
            print_errors(&submit.file, &invalid.errors, args.json);
            Ok(Exit::Invalid)
        }
    }
}

async fn wait_in_force(
    client: &mut Client,
    mut state: NoteState,
    wait: Duration,
    start: Instant,
    json: bool,
) -> Result<Exit> {
    let in_force = |s: &NoteState| s.accepted && s.missing.is_empty();
    while !in_force(&state) && start.elapsed() < wait {
        tokio::time::sleep(POLL_INTERVAL).await;
        let remaining = wait.saturating_sub(start.elapsed());
        match client.note(state.number, remaining).await {
            Ok(newer) => state = newer,
            // The note is in the log already, so a failed poll is retried until the wait ends.
            Err(e) if start.elapsed() < wait => {
                log::debug!(event = "note-wait"; "request for the state of the note failed: {e}")
            }
            Err(_) => break,
        }
    }
    print_note(&state, json, start.elapsed());
    match in_force(&state) {
        true => Ok(Exit::Done),
        false => Ok(Exit::Pending),
    }
}

fn print_note(state: &NoteState, json: bool, elapsed: Duration) {
    if json {
        return print_json(state);
    }
    let NoteState {
        number,
        position,
        registered,
        holding,
        ..
    } = state;
    let accepted = match state.accepted {
        true => "accepted",
        false => "in the log, not accepted yet",
    };
    println!(
        "note {number} at position {position}: {accepted}; in force on {holding} of {registered} \
         nodes after {} ms",
        elapsed.as_millis()
    );
    for node in &state.missing {
        println!("  missing on node {node}");
    }
}

async fn run_note(args: &Args, note: &NoteArgs) -> Result<Exit> {
    let start = Instant::now();
    let number = NoteNumber(note.number);
    let state = connect(args).note(number, READ_WAIT).await?;
    print_note(&state, args.json, start.elapsed());
    Ok(Exit::Done)
}

async fn run_status(args: &Args) -> Result<Exit> {
    let status = connect(args).status(READ_WAIT).await?;
    if args.json {
        print_json(&status);
    } else {
        print_status(&status);
    }
    Ok(Exit::Done)
}

fn print_status(status: &Status) {
    println!(
        "replica {} is {} in term {}, committed position {}, note {}",
        status.replica, status.role, status.term, status.committed, status.number
    );
    for replica in &status.replicas {
        let voter = if replica.voter { "voter" } else { "learner" };
        let addr = replica.addr.map_or("-".to_owned(), |a| a.to_string());
        let position = replica.position.map_or("-".to_owned(), |p| p.to_string());
        println!(
            "  replica {} {addr} {voter} position {position}",
            replica.id
        );
    }
    for node in &status.nodes {
        let contact = node
            .silent_ms
            .map_or("-".to_owned(), |ms| format!("{ms} ms"));
        println!(
            "  node {} {} zone {} position {} last contact {contact}",
            node.id, node.addr, node.zone, node.position
        );
    }
}
