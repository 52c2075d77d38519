//! Runs one case: `standin CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if
//! the case could not run.

mod clock;
mod drain;
mod limit;
mod site;
mod twice;

fn main() {
    let mut words = std::env::args().skip(1);
    let case = words.next().unwrap_or_default();
    let folder = words.next().unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let work = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&work).expect("the folder is made");
    let run = match case.as_str() {
        "clock" => clock::run,
        "drain" => drain::run,
        "limit" => limit::run,
        "twice" => twice::run,
        _ => std::process::exit(2),
    };
    let record = site::Record::new();
    let outcome = run(&record, &work.to_string_lossy(), trouble);
    record.add(format!("outcome: {outcome:?}"));
    record.write(&format!("{folder}/record.txt"));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&work);
    }
    std::process::exit(match outcome {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    });
}
