//! Checks that the documentation matches the code.

use laburnumtide::prelude::*;

/// Returns the text of a file, given by its path in the repository.
fn read_file(name: &str) -> String {
    let path = format!("{}/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).unwrap()
}

/// Guards against a refusal reason that is missing from the operators' page, or whose row differs.
#[test]
fn reasons_listed() {
    let text = read_file("docs/operators.md");
    for reason in Reason::ALL {
        let status = reason.status().as_u16();
        let outcome = match reason.may_have_run() {
            true => "unknown",
            false => "not-run",
        };
        let row = format!(
            "| `{reason}` | {status} | {outcome} | {} | {} |",
            reason.meaning(),
            reason.action()
        );
        assert!(text.contains(&row), "docs/operators.md lacks {row}");
    }
}

/// Guards against example notes on the operators' page that are not valid.
#[test]
fn example_notes() {
    let text = read_file("docs/operators.md");
    let blocks: Vec<&str> = text.split("```toml\n").skip(1).collect();
    assert_eq!(blocks.len(), 2);
    let mut config = laburnumtide::config::Config::new();
    for block in blocks {
        let toml = block.split("```").next().unwrap();
        let digest = KeyDigest::of(b"example").to_string();
        let toml = toml.replace("sha256:<64 hexadecimal digits>", &digest);
        let note = laburnumtide::config::Note::parse(&toml).unwrap();
        config.apply(&note).unwrap();
    }
}

/// Guards against a table of proofs that names a test which does not exist.
#[test]
fn proofs_exist() {
    let text = read_file("docs/proofs.md");
    let named = text
        .split('`')
        .skip(1)
        .step_by(2)
        .filter(|t| t.contains("::"));
    let mut count = 0;
    for name in named {
        let (file, test) = name.rsplit_once("::").unwrap();
        let source = read_file(&format!("tests/{}.rs", file.replace("::", "/")));
        assert!(source.contains(&format!("fn {test}(")), "no test {name}");
        count += 1;
    }
    assert!(count >= 40, "only {count} tests are named");
}

/// Returns the text of every Rust source file below `dir`.
fn sources(dir: &std::path::Path) -> Vec<String> {
    let mut texts = Vec::new();
    for entry in std::fs::read_dir(dir).unwrap().flatten() {
        let path = entry.path();
        if path.is_dir() {
            texts.extend(sources(&path));
        } else if path.extension().is_some_and(|e| e == "rs") {
            texts.push(std::fs::read_to_string(path).unwrap());
        }
    }
    texts
}

/// Guards against a metric that is missing from the operators' page.
#[test]
fn metrics_listed() {
    let page = read_file("docs/operators.md");
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut count = 0;
    for text in sources(&root) {
        for call in [".count(\"", ".add(\"", ".gauge(\""] {
            for rest in text.split(call).skip(1) {
                let name = rest.split('"').next().unwrap();
                assert!(page.contains(&format!("`{name}`")), "no metric {name}");
                count += 1;
            }
        }
    }
    assert!(count >= 20, "only {count} metrics were found");
}
