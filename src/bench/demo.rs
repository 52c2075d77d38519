//! The demonstration: both deployments in small, with a few requests each.

use std::{
    thread,
    time::Duration, //
};

use uuid::Uuid;

use super::{
    Answer,
    CASCADE,
    Deployment,
    Error,
    Fleet,
    Plan,
    TENGIS, //
};

/// Tokens of each completion.
const TOKENS: u32 = 12;

/// Deadline of each request.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Runs both deployments one after the other.
pub(super) fn run() -> Result<(), Error> {
    for deployment in [TENGIS, CASCADE] {
        show(deployment)?;
    }
    Ok(())
}

fn show(deployment: Deployment) -> Result<(), Error> {
    println!("== {} ==", deployment.institution);
    let fleet = Fleet::start(Plan::new(deployment))?;
    println!(
        "started {} entries, {} engines and {} plain service, each daemon a process of its own",
        fleet.entries.len(),
        fleet.engines.len(),
        fleet.services.len(),
    );
    show_cold_start(&fleet)?;
    show_booking(&fleet)
}

/// Sends first requests for one idle model through both entries at once.
fn show_cold_start(fleet: &Fleet) -> Result<(), Error> {
    let deployment = fleet.plan.deployment;
    let model = deployment.model(1);
    let answers: Vec<_> = thread::scope(|scope| {
        let ask = |entry| {
            fleet
                .caller(entry)
                .chat(model.as_str(), deployment.prompt, TOKENS, TIMEOUT)
        };
        let threads: Vec<_> = (0..fleet.entries.len())
            .map(|entry| scope.spawn(move || ask(entry)))
            .collect();
        threads.into_iter().map(|thread| thread.join()).collect()
    });
    for answer in answers {
        let answer = answer.map_err(|_| Error::Check("a caller panicked".to_owned()))??;
        print_stream(&answer);
        check(
            answer.is_complete(),
            &format!("the stream is whole: {}", answer.body),
        )?;
    }
    let loads = fleet.count_engines("loads_started")?;
    println!("loads of {model}: {loads}");
    check(loads == 1, "one load serves both entries")
}

/// Sends one booking, then the same key again through the other entry.
fn show_booking(fleet: &Fleet) -> Result<(), Error> {
    let deployment = fleet.plan.deployment;
    let key = Uuid::now_v7().to_string();
    for entry in 0..fleet.entries.len() {
        let caller = fleet.caller(entry);
        let answer = caller.call(
            deployment.service,
            deployment.booking_path,
            Some(&key),
            deployment.booking,
        )?;
        println!(
            "POST {}{} through entry {entry}: {} {}",
            deployment.service,
            deployment.booking_path,
            answer.status,
            answer.body.trim(),
        );
        check(answer.status < 300, "the call is answered")?;
    }
    let runs = fleet.count_services("runs")?;
    println!("runs of the call: {runs}");
    check(runs == 1, "the same key does not run again")
}

fn print_stream(answer: &Answer) {
    let first = answer
        .events
        .first()
        .map_or(0, |(time, _)| time.as_millis());
    println!(
        "stream: status {}, first piece after {first} ms, {} events, text {:?}",
        answer.status,
        answer.events.len(),
        answer.text(),
    );
}

fn check(holds: bool, what: &str) -> Result<(), Error> {
    if holds {
        Ok(())
    } else {
        Err(Error::Check(what.to_owned()))
    }
}
