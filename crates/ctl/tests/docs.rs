//! Checks that the documentation shows only settings, documents, bodies and error texts that the
//! programs accept or produce.

use std::{
    fs,
    path::{Path, PathBuf},
};

use model::{Config, Settings};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use wire::{
    AppendAnswer, AppendRequest, AuditPage, ConfigAnswer, ErrorBody, Health, ListAnswer,
    MovesAnswer, ProposalAnswer, PublishRequest, ReadAnswer, Record, Status, ZoneRequest,
};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn read(path: &str) -> String {
    fs::read_to_string(docs().join(path)).unwrap_or_else(|e| panic!("{path}: {e}"))
}

/// Returns the fenced code blocks of a page, each as its info string and its content.
fn blocks(text: &str) -> Vec<(&str, &str)> {
    let sections: Vec<&str> = text.split("\n```").collect();
    let fenced = sections.iter().skip(1).step_by(2);
    fenced.filter_map(|block| block.split_once('\n')).collect()
}

fn examples() -> Vec<(String, String)> {
    let dir = docs().join("ops/examples");
    let mut found = Vec::new();
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap().to_owned();
        found.push((name, fs::read_to_string(&path).unwrap()));
    }
    found
}

#[test]
fn examples_parse() {
    let (mut settings, mut configs) = (0, 0);
    for (name, text) in examples() {
        if name.starts_with("settings-") {
            let parsed = Settings::parse(&name, &text);
            assert!(parsed.is_ok(), "{name}: {parsed:?}");
            settings += 1;
        } else {
            let parsed = Config::parse(&name, &text);
            assert!(parsed.is_ok(), "{name}: {parsed:?}");
            configs += 1;
        }
    }
    assert_eq!((settings, configs), (2, 4));
}

/// Checks that the JSON bodies of the page have exactly the fields of the types.
#[test]
fn interface_bodies_decode() {
    let page = read("interfaces.md");
    let mut checked = 0;
    for (info, text) in blocks(&page) {
        let Some(name) = info.strip_prefix("json wire=") else {
            continue;
        };
        match name {
            "AppendAnswer" => round_trip::<AppendAnswer>(text),
            "AppendRequest" => round_trip::<AppendRequest>(text),
            "AuditPage" => round_trip::<AuditPage>(text),
            "ConfigAnswer" => round_trip::<ConfigAnswer>(text),
            "ErrorBody" => round_trip::<ErrorBody>(text),
            "Health" => round_trip::<Health>(text),
            "ListAnswer" => round_trip::<ListAnswer>(text),
            "MovesAnswer" => round_trip::<MovesAnswer>(text),
            "ProposalAnswer" => round_trip::<ProposalAnswer>(text),
            "PublishRequest" => round_trip::<PublishRequest>(text),
            "ReadAnswer" => round_trip::<ReadAnswer>(text),
            "Status" => round_trip::<Status>(text),
            "ZoneRequest" => round_trip::<ZoneRequest>(text),
            other => panic!("no type {other}"),
        }
        checked += 1;
    }
    assert_eq!(checked, 13);
}

fn round_trip<T: DeserializeOwned + Serialize>(text: &str) {
    let shown: Value = serde_json::from_str(text).unwrap_or_else(|e| panic!("{e}: {text}"));
    let typed: T = serde_json::from_str(text).unwrap_or_else(|e| panic!("{e}: {text}"));
    assert_eq!(serde_json::to_value(&typed).unwrap(), shown, "{text}");
}

#[test]
fn interface_records_decode() {
    let page = read("interfaces.md");
    let found = blocks(&page);
    let (_, text) = found.iter().find(|(info, _)| *info == "record").unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 5);
    for line in lines {
        let record = Record::decode(line).unwrap_or_else(|e| panic!("{e}: {line}"));
        assert!(!record.id.is_empty());
    }
}

/// Checks that every key which the parsers accept has a row in a table of the reference.
#[test]
fn reference_lists_every_key() {
    let known = |errors: Vec<model::ConfigError>, key: &str| -> Vec<String> {
        let error = errors.into_iter().find(|e| e.key == key).unwrap();
        let names = error.allowed.strip_prefix("one of ").unwrap().to_owned();
        names.split(", ").map(str::to_owned).collect()
    };
    let install = read("ops/install.md");
    let text = "zz = 1\n[[operator]]\nzz = 1\n";
    let errors = Settings::parse("x", text).unwrap_err();
    let mut keys = known(errors.clone(), "zz");
    keys.extend(known(errors, "operator[0].zz"));
    for key in keys {
        assert!(
            install.contains(&format!("| `{key}` |")),
            "install.md lacks {key}"
        );
    }
    let configuration = read("ops/configuration.md");
    let text = "[[service]]\nzz = 1\n[[service.class]]\nzz = 1\n[[move]]\nzz = 1\n";
    let errors = Config::parse("x", text).unwrap_err();
    for place in ["service[0].zz", "service[0].class[0].zz", "move[0].zz"] {
        for key in known(errors.clone(), place) {
            let row = format!("| `{key}` |");
            assert!(configuration.contains(&row), "configuration.md lacks {key}");
        }
    }
}

/// Checks that the error texts in the pages are the ones that the programs print.
#[test]
fn shown_errors_are_real() {
    let settings = read("ops/examples/settings-lemovka.toml");
    let settings = settings.replace("listen = \"127.0.0.1:8080\"", "listen = \"log.example:80\"");
    let error = Settings::parse("i-1.toml", &settings).unwrap_err()[0].to_string();
    assert!(read("ops/install.md").contains(&error), "{error}");
    let document = read("ops/examples/lemovka.toml");
    let document = document.replacen("delay_ms = 20", "delay_ms = 61", 1);
    let document = document.replacen("version =", "weight = 1\nversion =", 1);
    let page = read("ops/configuration.md");
    for error in Config::parse("lemovka.toml", &document).unwrap_err() {
        assert!(page.contains(&error.to_string()), "{error}");
    }
}

#[test]
fn links_resolve() {
    let dirs = [docs(), docs().join("ops")];
    for dir in dirs {
        for entry in fs::read_dir(&dir).unwrap() {
            let path = entry.unwrap().path();
            if path.extension().is_some_and(|e| e == "md") {
                check_links(&dir, &path);
            }
        }
    }
}

fn check_links(dir: &Path, page: &Path) {
    let text = fs::read_to_string(page).unwrap();
    for after_link in text.split("](").skip(1) {
        let target = after_link.split([')', '#']).next().unwrap();
        let found = target.is_empty() || dir.join(target).exists();
        assert!(found, "{}: link to {target}", page.display());
    }
}
