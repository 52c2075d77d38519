//! An entry on loopback, fake agents that the test plays, and a caller of raw HTTP.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    sync::Arc,
};

use chestnuthub::{
    catalogue::{
        Access,
        Call,
        Institution,
        Item,
        Model,
        Note,
        Service, //
    },
    context::Context,
    decision::{
        Body,
        Record, //
    },
    entry::Entry,
    metrics::Metrics,
    peer::{
        Endpoint,
        Exchange,
        Identity, //
    },
    platform::{
        list::{
            Instance,
            Role,
            State, //
        },
        log::Log,
    },
    settings::{
        self,
        Platform,
        Settings,
        Tls, //
    },
    view::View,
    wire::{
        Frame,
        Head,
        Load,
        Piece,
        Request, //
    },
};
use rcgen::{
    BasicConstraints,
    CertificateParams,
    CertifiedIssuer,
    IsCa,
    KeyPair, //
};
use sha2::{
    Digest,
    Sha256, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    sync::{
        mpsc,
        watch, //
    },
};
use uuid::Uuid;

/// Token of the institution `cascade`.
pub(crate) const TOKEN: &str = "token-of-cascade";

/// Token of the institution `tengis`.
pub(crate) const OTHER_TOKEN: &str = "token-of-tengis";

/// An entry and the fake agents that it knows.
pub(crate) struct System {
    pub(crate) entry: Entry,
    pub(crate) agents: Vec<mpsc::UnboundedReceiver<Exchange>>,
}

impl System {
    /// Starts an entry with `agents` fake agents, each with a slot for `gear-check@1` and a
    /// server of `shopdesk`.
    pub(crate) fn start(agents: usize) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(Uuid::new_v4().to_string());
        fs::create_dir_all(&folder).unwrap();
        let names: Vec<String> = (1..=agents)
            .map(|index| format!("gearmind-{index}"))
            .collect();
        write_keys(&folder, names.iter().map(String::as_str).chain(["entry-1"]));
        let context = context(&folder);
        let mut endpoints = Vec::new();
        let mut receivers = Vec::new();
        for name in &names {
            let endpoint = bind(&folder, name);
            let (sender, receiver) = mpsc::unbounded_channel();
            tokio::spawn(accept(endpoint.clone(), sender));
            endpoints.push(endpoint);
            receivers.push(receiver);
        }
        let addrs = endpoints
            .iter()
            .map(|endpoint| endpoint.local_addr().unwrap());
        fill(&context.view, &names, addrs.collect());
        let settings::Role::Entry(role) = &context.settings.role else {
            unreachable!("the settings are an entry's");
        };
        let entry = Entry::start(context.clone(), role).unwrap();
        fs::remove_dir_all(&folder).unwrap();
        Self {
            entry,
            agents: receivers,
        }
    }

    /// Waits for the next request at a fake agent, with its body.
    pub(crate) async fn request(&mut self, agent: usize) -> (Exchange, Request, Vec<u8>) {
        let mut exchange = self.agents[agent].recv().await.unwrap();
        let Some(Frame::Open(request)) = exchange.next().await.unwrap() else {
            panic!("the exchange does not begin with a request");
        };
        let mut body = Vec::new();
        loop {
            match exchange.next().await.unwrap().unwrap() {
                Frame::Piece(piece) => body.extend_from_slice(&piece.0),
                Frame::End => return (exchange, *request, body),
                other => panic!("unexpected frame {other:?}"),
            }
        }
    }

    /// Sends a request and returns the caller that waits for its answer.
    pub(crate) async fn call(&self, head: &str, body: &str) -> Caller {
        let mut caller = self.connect().await;
        caller.send(head, body).await;
        caller
    }

    /// Sends a chat request with the right token.
    pub(crate) async fn chat(&self, stream: bool) -> Caller {
        let body = format!(
            r#"{{"model":"gear-check","stream":{stream},"messages":[{{"role":"user","content":"hi"}}]}}"#
        );
        self.call(&post_chat(TOKEN), &body).await
    }

    pub(crate) async fn connect(&self) -> Caller {
        Caller {
            stream: TcpStream::connect(self.entry.caller_addr()).await.unwrap(),
            received: Vec::new(),
        }
    }
}

/// Head of a chat request, without the lines about the body.
pub(crate) fn post_chat(token: &str) -> String {
    format!("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {token}\r\n")
}

/// Sends the head of an answer to `request`.
pub(crate) async fn send_head(exchange: &mut Exchange, request: &Request, content_type: &str) {
    let head = Head {
        request: request.id.clone(),
        status: 200,
        content_type: content_type.to_owned(),
        load: Load {
            resident: true,
            ..Load::default()
        },
    };
    exchange.send(&Frame::Head(head)).await.unwrap();
}

/// Sends a piece of an answer.
pub(crate) async fn send_piece(exchange: &mut Exchange, text: &str) {
    let piece = Piece(text.to_owned().into());
    exchange.send(&Frame::Piece(piece)).await.unwrap();
}

/// Ends an answer.
pub(crate) async fn send_end(exchange: &mut Exchange) {
    exchange.send(&Frame::End).await.unwrap();
    exchange.finish();
}

/// Head of an answer as a caller sees it.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: BTreeMap<String, String>,
}

/// A caller that reads answers byte by byte, so that a test sees when each piece arrives.
pub(crate) struct Caller {
    pub(crate) stream: TcpStream,
    received: Vec<u8>,
}

impl Caller {
    pub(crate) async fn send(&mut self, head: &str, body: &str) {
        let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    pub(crate) async fn head(&mut self) -> Answer {
        let text = self.until("\r\n\r\n").await.unwrap();
        let mut lines = text.split("\r\n");
        let status = lines.next().unwrap().split(' ').nth(1).unwrap();
        let headers = lines.filter_map(|line| line.split_once(": "));
        Answer {
            status: status.parse().unwrap(),
            headers: headers
                .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
                .collect(),
        }
    }

    /// Returns the next chunk, empty at the end of the body, nothing if the body was cut off.
    pub(crate) async fn chunk(&mut self) -> Option<String> {
        let size = self.until("\r\n").await?;
        let size = usize::from_str_radix(&size, 16).unwrap();
        let chunk = self.take(size + 2).await?;
        Some(chunk.strip_suffix("\r\n").unwrap().to_owned())
    }

    /// Returns all chunks up to the end of the body, nothing if the body was cut off.
    pub(crate) async fn chunks(&mut self) -> Option<String> {
        let mut text = String::new();
        loop {
            match self.chunk().await? {
                chunk if chunk.is_empty() => return Some(text),
                chunk => text.push_str(&chunk),
            }
        }
    }

    /// Reads an answer with problem data.
    pub(crate) async fn problem(&mut self) -> (Answer, serde_json::Value) {
        let answer = self.head().await;
        assert_eq!(answer.headers["content-type"], "application/problem+json");
        let size = answer.headers["content-length"].parse().unwrap();
        let body = self.take(size).await.unwrap();
        (answer, serde_json::from_str(&body).unwrap())
    }

    async fn until(&mut self, end: &str) -> Option<String> {
        loop {
            let found = self
                .received
                .windows(end.len())
                .position(|window| window == end.as_bytes());
            if let Some(index) = found {
                let text = self.take(index + end.len()).await?;
                return Some(text[..index].to_owned());
            }
            if !self.fill().await {
                return None;
            }
        }
    }

    async fn take(&mut self, size: usize) -> Option<String> {
        while self.received.len() < size {
            if !self.fill().await {
                return None;
            }
        }
        let taken = self.received.drain(..size).collect();
        Some(String::from_utf8(taken).unwrap())
    }

    async fn fill(&mut self) -> bool {
        let mut buffer = [0; 4_096];
        match self.stream.read(&mut buffer).await {
            Ok(0) | Err(_) => false,
            Ok(size) => {
                self.received.extend_from_slice(&buffer[..size]);
                true
            }
        }
    }
}

async fn accept(endpoint: Endpoint, exchanges: mpsc::UnboundedSender<Exchange>) {
    while let Some(incoming) = endpoint.accept().await {
        let Ok(connection) = incoming.await else {
            continue;
        };
        let exchanges = exchanges.clone();
        tokio::spawn(async move {
            while let Ok((send, receive)) = connection.accept_bi().await {
                if exchanges.send(Exchange::new(send, receive)).is_err() {
                    return;
                }
            }
        });
    }
}

fn write_keys<'a>(folder: &Path, names: impl Iterator<Item = &'a str>) {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority = CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap();
    fs::write(folder.join("authority.pem"), authority.pem()).unwrap();
    for name in names {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new([name.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &authority).unwrap();
        fs::write(folder.join(format!("{name}.pem")), certificate.pem()).unwrap();
        fs::write(folder.join(format!("{name}.key")), key.serialize_pem()).unwrap();
    }
}

fn tls(folder: &Path, name: &str) -> Tls {
    Tls {
        authority: folder.join("authority.pem"),
        certificate: folder.join(format!("{name}.pem")),
        key: folder.join(format!("{name}.key")),
    }
}

fn bind(folder: &Path, name: &str) -> Endpoint {
    let identity = Identity::load(&tls(folder, name)).unwrap();
    Endpoint::bind(loopback(), &identity).unwrap()
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn digest(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn context(folder: &Path) -> Context {
    let institutions = [("cascade", TOKEN), ("tengis", OTHER_TOKEN)];
    let role = settings::Entry {
        caller_addr: loopback(),
        institutions: institutions
            .iter()
            .map(|(name, token)| ((*name).into(), vec![digest(token)]))
            .collect(),
    };
    let settings = Settings {
        instance: "entry-1".into(),
        region: "puget".to_owned(),
        failure_domain: "puget-a".to_owned(),
        peer_addr: loopback(),
        operator_addr: loopback(),
        platform: Platform {
            log: "http://127.0.0.1:9".to_owned(),
            log_retention_h: 24,
            list: "http://127.0.0.1:9".to_owned(),
            store: "http://127.0.0.1:9".to_owned(),
        },
        tls: tls(folder, "entry-1"),
        operators: BTreeMap::new(),
        log_level: "info".to_owned(),
        role: settings::Role::Entry(role),
    };
    Context {
        log: Log::new(&settings.platform.log),
        settings: Arc::new(settings),
        view: Arc::new(View::default()),
        endpoint: bind(folder, "entry-1"),
        runtime: tokio::runtime::Handle::current(),
        metrics: Arc::new(Metrics::default()),
        stopping: watch::channel(false).1,
    }
}

fn fill(view: &View, names: &[String], addrs: Vec<SocketAddr>) {
    let mut note = Note::new("operator", 0);
    note.added = vec![
        Item::Institution(institution("cascade")),
        Item::Institution(institution("tengis")),
        Item::Model(model("gear-check")),
        Item::Model(model("laptop-check")),
        Item::Service(Service {
            name: "shopdesk".into(),
            pool: "gearmind".into(),
            non_idempotent: vec![Call {
                method: "POST".to_owned(),
                path: "/orders".to_owned(),
            }],
            stale_limit_s: None,
        }),
        Item::Access(access("cascade", "gear-check")),
        Item::Access(access("cascade", "shopdesk")),
        Item::Access(access("tengis", "laptop-check")),
    ];
    view.update_catalogue(|catalogue| catalogue.apply(1, &note));
    let instances = names.iter().zip(&addrs).map(|(name, addr)| Instance {
        name: name.as_str().into(),
        role: Role::Agent,
        addr: *addr,
        operator_addr: loopback(),
        pool: "gearmind".into(),
        region: "puget".to_owned(),
        failure_domain: "puget-a".to_owned(),
        state: State::Live,
    });
    view.set_instances(instances.collect());
    for name in names {
        grant(view, name);
    }
}

/// Registers a server and grants it a slot for `gear-check@1`.
pub(crate) fn grant(view: &View, server: &str) {
    let model = "gear-check@1".into();
    view.update_table(|table| {
        let register = Record::new(Body::Register {
            server: server.into(),
            incarnation: Uuid::new_v4(),
            memory_mb: 80_000,
            pool: "gearmind".into(),
            region: "puget".to_owned(),
            failure_domain: "puget-a".to_owned(),
        });
        table.apply(table.applied() + 1, &register);
        let grant = Record::new(Body::Grant {
            replaces: table.head(&model),
            model,
            server: server.into(),
            limit: 10,
        });
        table.apply(table.applied() + 1, &grant);
    });
}

fn institution(name: &str) -> Institution {
    Institution {
        name: name.into(),
        cold_start_weight: 1.0,
        idle_hour_weight: 1.0,
    }
}

fn model(name: &str) -> Model {
    Model {
        name: name.to_owned(),
        version: 1,
        pool: "gearmind".into(),
        memory_mb: 1_000,
        checkpoint_mb: 1_000,
        max_replicas: 2,
        home_slots: 2,
        stale_limit_s: None,
    }
}

fn access(institution: &str, target: &str) -> Access {
    Access {
        institution: institution.into(),
        target: target.to_owned(),
        max_in_flight: 10,
        max_queue: 10,
        requests_per_s: 100.0,
        priority: 1,
    }
}
