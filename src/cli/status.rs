//! `chestnuthub status`.

use std::{
    collections::BTreeMap,
    path::PathBuf, //
};

use bpaf::{
    Parser,
    construct, //
};
use serde_json::{
    Value,
    json, //
};

use super::{
    decisions::Decisions,
    exit::{
        Error,
        Exit,
        Report, //
    },
    fleet::{
        Fleet, //
        Response,
    },
    table, //
};
use crate::client::list::{
    Role,
    State, //
};

/// Shows the instances, replicas and servers of the fleet.
#[derive(Debug, Clone)]
pub(super) struct Command {
    pub(super) json: bool,
    list: String,
    token_file: PathBuf,
    log: Option<String>,
}

pub(super) fn options() -> impl Parser<Command> {
    let json = super::json();
    let list = bpaf::long("list")
        .help("Base URL of the instance list")
        .argument::<String>("URL");
    let token_file = bpaf::long("token-file")
        .help("File with the operator's bearer token")
        .argument::<PathBuf>("FILE");
    let log = bpaf::long("log")
        .help("Base URL of the log; takes the replicas from it instead of from the daemons")
        .argument::<String>("URL")
        .optional();
    construct!(Command {
        json,
        list,
        token_file,
        log,
    })
}

impl Command {
    pub(super) fn run(&self) -> Result<Report, Error> {
        let fleet = Fleet::new(&self.list, &self.token_file)?;
        let responses = fleet.query(&fleet.instances()?);
        let decisions = match &self.log {
            Some(log) => Decisions::from_log(log)?,
            None => Decisions::from_responses(&responses),
        };
        let failed = responses.iter().any(|response| response.status.is_err());
        Ok(Report {
            exit: if failed { Exit::Unknown } else { Exit::Done },
            text: text(&responses, &decisions),
            json: document(&responses, &decisions),
        })
    }
}

/// Fields of a daemon's status that are columns of the instance table.
const STATUS_FIELDS: [&str; 3] = ["releases", "decisions", "news_age_ms"];

fn text(responses: &[Response], decisions: &Decisions) -> String {
    let epochs: BTreeMap<_, _> = decisions
        .servers
        .iter()
        .map(|server| (server.server.as_str(), server.epoch))
        .collect();
    let instances: Vec<_> = responses
        .iter()
        .map(|response| instance_row(response, &epochs))
        .collect();
    let headings = [
        "INSTANCE",
        "ROLE",
        "POOL",
        "FAILURE DOMAIN",
        "STATE",
        "REGISTERED AT",
        "RELEASES",
        "DECISIONS",
        "NEWS AGE MS",
    ];
    let mut text = table::render(&headings, &instances);
    for response in responses {
        if let Err(error) = &response.status {
            text.push_str(&format!("{}: {error}\n", response.instance.name));
        }
    }
    let slots: Vec<_> = decisions
        .slots
        .iter()
        .map(|slot| {
            let grant = slot.grant.to_string();
            vec![
                slot.model.clone(),
                slot.server.clone(),
                slot.state.clone(),
                grant,
            ]
        })
        .collect();
    let headings = ["MODEL", "SERVER", "SLOT", "DECIDED AT"];
    text.push('\n');
    text.push_str(&table::render(&headings, &slots));
    text.push_str(&format!(
        "{} slots as of offset {}\n",
        slots.len(),
        decisions.at
    ));
    text
}

fn instance_row(response: &Response, epochs: &BTreeMap<&str, u64>) -> Vec<String> {
    let instance = &response.instance;
    let epoch = epochs.get(instance.name.as_str()).map(u64::to_string);
    let mut row = vec![
        instance.name.to_string(),
        role(instance.role).to_owned(),
        instance.pool.to_string(),
        instance.failure_domain.clone(),
        state(instance.state).to_owned(),
        epoch.unwrap_or_else(|| "-".to_owned()),
    ];
    for field in STATUS_FIELDS {
        let status = response.status.as_ref().ok();
        let value = status.and_then(|status| status.get(field));
        row.push(value.map_or_else(|| "-".to_owned(), Value::to_string));
    }
    row
}

fn document(responses: &[Response], decisions: &Decisions) -> Value {
    let instances = responses.iter().map(|response| {
        json!({
            "instance": response.instance,
            "status": response.status.as_ref().ok(),
            "error": response.status.as_ref().err(),
        })
    });
    let slots = decisions.slots.iter().map(|slot| {
        json!({
            "model": slot.model,
            "server": slot.server,
            "state": slot.state,
            "grant": slot.grant,
        })
    });
    let servers = decisions.servers.iter();
    let servers = servers.map(|server| json!({ "server": server.server, "epoch": server.epoch }));
    json!({
        "instances": instances.collect::<Vec<_>>(),
        "decisions": decisions.at,
        "slots": slots.collect::<Vec<_>>(),
        "servers": servers.collect::<Vec<_>>(),
    })
}

const fn role(role: Role) -> &'static str {
    match role {
        Role::Entry => "entry",
        Role::Agent => "agent",
    }
}

const fn state(state: State) -> &'static str {
    match state {
        State::Live => "live",
        State::Leaving => "leaving",
    }
}
