//! Second addresses of an emulated site, at which its responses are framed and broken off as a test
//! asks.

use std::{
    io,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::Arc,
};

use super::{
    super::{
        fault::Faults,
        http,
        raw::{
            self,
            Delivery, //
        },
    },
    Site,
    engine,
    service,
    store, //
};

impl Site {
    /// Gives each server and the store a second address, at which responses are delivered as
    /// [`Self::deliver`] says. Writes the servers' into their descriptions.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if an address can't be bound.
    pub fn start_raw(&mut self) -> io::Result<()> {
        for index in 0..self.engines.len() {
            let engine = self.engines[index].server.clone();
            let handler = move |call| engine::handle(engine.clone(), call);
            let (beside, faults) = self.engines[index].listens_with();
            let address = self.start_raw_server(beside, faults, handler)?;
            self.publish_engine_at(index, address);
        }
        for index in 0..self.services.len() {
            let service = self.services[index].server.clone();
            let handler = move |call| service::handle(service.clone(), call);
            let (beside, faults) = self.services[index].listens_with();
            let address = self.start_raw_server(beside, faults, handler)?;
            self.publish_service_at(index, address);
        }
        let store = self.store.clone();
        let handler = move |call| store::handle(store.clone(), call);
        let faults = self.store_faults.clone();
        self.store_addr = self.start_raw_server(self.store_addr, faults, handler)?;
        Ok(())
    }

    fn start_raw_server<H, F>(
        &mut self,
        beside: SocketAddr,
        faults: Arc<Faults>,
        handler: H,
    ) -> io::Result<SocketAddr>
    where
        H: Fn(http::Call) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = http::Response> + Send + 'static,
    {
        let listener = TcpListener::bind((beside.ip(), 0))?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let _guard = self._runtime.enter();
        let server = Arc::new(raw::Server::default());
        let listener = tokio::net::TcpListener::from_std(listener)?;
        server.start(listener, faults, handler);
        self.raw.push(server);
        Ok(address)
    }

    /// Sets how all servers, but not the store, deliver their responses at the addresses of
    /// [`Self::start_raw`].
    pub fn deliver(&self, delivery: &Delivery) {
        for server in &self.raw[..self.engines.len() + self.services.len()] {
            server.deliver(delivery.clone());
        }
    }

    /// Sets how the store delivers its responses there.
    pub fn deliver_store(&self, delivery: Delivery) {
        self.raw[self.engines.len() + self.services.len()].deliver(delivery);
    }

    /// Returns the address of [`Self::start_raw`] of an engine.
    pub fn raw_engine_addr(&self, index: usize) -> SocketAddr {
        self.engines[index].public_addr
    }

    /// Returns the address of [`Self::start_raw`] of a server of the plain service.
    pub fn raw_service_addr(&self, index: usize) -> SocketAddr {
        self.services[index].public_addr
    }

    /// Sets how one server delivers its responses there; engines are counted first.
    pub fn deliver_at(&self, index: usize, delivery: Delivery) {
        self.raw[index].deliver(delivery);
    }

    /// Returns the number of bytes without end that all servers wrote there.
    pub fn endless_bytes(&self) -> u64 {
        self.raw.iter().map(|server| server.endless_bytes()).sum()
    }
}
