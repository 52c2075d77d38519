//! A gateway and its loaders before an emulated site.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    process::Stdio,
};

use chestnuthub::emulator::site::{
    Plan,
    Site, //
};
use serde_json::json;

use crate::site_support::{
    Daemon,
    HOST,
    ask_raw,
    configuration,
    eventually,
    free_port,
    settings, //
};

/// A gateway, the loaders beside the engines, and the site.
pub(crate) struct World {
    pub(crate) site: Site,
    pub(crate) gateway: Daemon,
    pub(crate) loaders: Vec<Daemon>,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: SocketAddr,
}

impl World {
    /// Starts a site with the usual configuration and waits until the gateway is ready.
    pub(crate) fn start(plan: &Plan) -> Self {
        let site = Site::start(plan).expect("the site starts");
        site.configure(&configuration(1, &[]));
        let world = Self::unconfigured(site);
        eventually("the gateway is ready", || world.is_ready());
        world
    }

    /// Starts the daemons before a site.
    pub(crate) fn unconfigured(site: Site) -> Self {
        let peer_port = free_port();
        let callers = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let ready = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let mut loaders = Vec::new();
        for index in 0..site.engines() {
            let engine = site.engine_addr(index);
            let mut settings = settings(
                site.store_addr(),
                &format!("side-{index}"),
                engine,
                peer_port,
            );
            settings["engine_addr"] = json!(engine.to_string());
            loaders.push(Daemon::start("loader", &settings, Stdio::null()));
        }
        let mut settings = settings(site.store_addr(), "front-1", callers, peer_port);
        let metrics_port = free_port();
        settings["metrics_port"] = json!(metrics_port);
        settings["listen"] = json!({ "callers": callers.to_string(), "ready": ready.to_string() });
        let gateway = Daemon::start("gateway", &settings, Stdio::null());
        Self {
            site,
            gateway,
            loaders,
            callers,
            ready,
            metrics: SocketAddr::from((Ipv4Addr::LOCALHOST, metrics_port)),
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        let answer = ask_raw(
            self.ready,
            "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
        );
        answer.starts_with("HTTP/1.1 200")
    }

    /// Sends a request on a connection of its own and returns all bytes of the answer.
    pub(crate) fn ask(&self, request: &Request<'_>) -> String {
        ask_raw(self.callers, &request.text())
    }
}

/// A client's request.
pub(crate) struct Request<'a> {
    pub(crate) id: &'a str,
    pub(crate) path: &'a str,
    pub(crate) model: Option<&'a str>,
    pub(crate) body: &'a str,
}

impl<'a> Request<'a> {
    pub(crate) fn new(id: &'a str, path: &'a str) -> Self {
        Self {
            id,
            path,
            model: None,
            body: "",
        }
    }

    pub(crate) fn model(id: &'a str, path: &'a str, model: &'a str) -> Self {
        Self {
            model: Some(model),
            ..Self::new(id, path)
        }
    }

    pub(crate) fn text(&self) -> String {
        let model = self
            .model
            .map_or(String::new(), |model| format!("Model: {model}\r\n"));
        format!(
            "POST {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nDeadline-Ms: 5000\r\n\
             {model}Connection: close\r\nContent-Length: {}\r\n\r\n{}",
            self.path,
            self.id,
            self.body.len(),
            self.body
        )
    }
}
