//! Sample release notes.

/// Key of the sample note for account `yard`.
pub const YARD_KEY: &str = "yard-key-0123456789";

/// Key of the sample note for account `office`.
pub const OFFICE_KEY: &str = "office-key-0123456789";

/// The first note: accounts, keys, two services and their routes.
pub fn sample_note() -> String {
    let digest = |key: &str| laburnumtide::prelude::KeyDigest::of(key.as_bytes());
    format!(
        r#"number = 1
title = "first accounts and routes"

[[added.accounts]]
name = "yard"
rate = "50/s"
burst = 100

[[added.accounts]]
name = "office"
rate = "20/s"
burst = 40

[[added.keys]]
name = "yard-1"
account = "yard"
digest = "{}"

[[added.keys]]
name = "office-1"
account = "office"
digest = "{}"

[[added.services]]
name = "records"
floor = 50
open_rate = "100/s"
open_burst = 100

[[added.routes]]
name = "records"
path = "/records"
methods = ["GET", "POST"]
service = "records"
deadline = "5s"
idempotent = ["GET"]

[[added.routes]]
name = "public"
path = "/public"
methods = ["GET"]
service = "records"
open = true
deadline = "5s"
idempotent = ["GET"]
"#,
        digest(YARD_KEY),
        digest(OFFICE_KEY)
    )
}
