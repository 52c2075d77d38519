//! What must hold in the simulated world.

use std::collections::BTreeMap;

use chestnuthub::claim::{
    Answer,
    Body, //
};

use super::{
    Call,
    Choice,
    Request,
    World,
    at, //
};

impl World {
    /// Ends all faults, delivers everything and lets simulated time pass.
    pub(crate) fn settle(&mut self) {
        self.log_up = true;
        for agent in 0..self.agents.len() {
            self.apply(Choice::Resume(agent));
            if self.agents[agent].run.is_none() {
                self.apply(Choice::Restart(agent));
            }
        }
        for _ in 0..60 {
            for _ in 0..200 {
                if self.pending.is_empty() {
                    break;
                }
                self.apply(Choice::Deliver(0));
                self.check();
            }
            self.apply(Choice::Wait(1_000));
            if self.choices().contains(&Choice::Wake) {
                self.apply(Choice::Wake);
            }
        }
    }

    /// Checks what must hold at every moment. The service's own record is the judge.
    pub(crate) fn check(&self) {
        let mut runs = BTreeMap::new();
        for Call {
            key,
            payload,
            ticket,
        } in &self.ran
        {
            *runs.entry(*key).or_insert(0) += 1;
            let request = &self.requests[at(*ticket)];
            assert_eq!(request.payload, *payload);
            assert!(
                !said_not_run(request),
                "request {ticket} ran after \"not run\""
            );
        }
        for (key, count) in &runs {
            assert_eq!(*count, 1, "the call of key {key} ran {count} times");
        }
        for request in &self.requests {
            if let Some(Answer::Response(response)) = &request.answer {
                let body = Some(Body(vec![request.key, request.payload]));
                assert_eq!(response.body, body, "a response to another request");
                assert!(runs.contains_key(&request.key), "a response without a run");
            }
        }
    }

    /// Checks what must hold after `settle`.
    pub(crate) fn check_settled(&self) {
        self.check();
        for (ticket, request) in self.requests.iter().enumerate() {
            let answered = request.answer.is_some() || request.lost;
            assert!(answered, "request {ticket} has no answer");
            let mut same = self.requests.iter().filter(|r| r.key == request.key);
            let ran = self.ran.iter().any(|call| call.key == request.key);
            assert!(
                !ran || !same.all(said_not_run),
                "all said \"not run\" but one ran"
            );
        }
    }
}

pub(crate) fn said_not_run(request: &Request) -> bool {
    matches!(&request.answer, Some(Answer::Refused(refusal)) if refusal.not_run)
}
