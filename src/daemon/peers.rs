//! Serves the exchanges that peers open.

use std::sync::Arc;

use super::Component;
use crate::{
    context::Context,
    gossip,
    peer::Exchange,
    report,
    wire::Frame, //
};

/// Accepts connections from peers and serves their exchanges until the peer port is closed.
pub(super) async fn accept(context: Context, component: Component, node: Arc<gossip::Node>) {
    while let Some(incoming) = context.endpoint.accept().await {
        let (component, node) = (component.clone(), node.clone());
        tokio::spawn(async move {
            let Ok(connection) = incoming.await else {
                return;
            };
            while let Ok((send, receive)) = connection.accept_bi().await {
                let exchange = Exchange::new(send, receive);
                tokio::spawn(handle(component.clone(), node.clone(), exchange));
            }
        });
    }
}

async fn handle(component: Component, node: Arc<gossip::Node>, mut exchange: Exchange) {
    let frame = match exchange.next().await {
        Ok(Some(frame)) => frame,
        Ok(None) => return,
        Err(error) => return report::warn("exchange_failed", &[("error", &error)]),
    };
    match (component, frame) {
        (_, Frame::Heads(heads)) => node.reply_to_heads(heads, exchange).await,
        (_, Frame::Pull { stream, after }) => node.reply_to_pull(&stream, after, exchange).await,
        (Component::Agent(agent), Frame::Open(request)) => agent.serve(*request, exchange).await,
        (Component::Agent(agent), Frame::Widen { model }) => {
            agent.widen(&model);
            acknowledge(exchange).await;
        }
        (Component::Agent(agent), Frame::Drain) => {
            agent.leave();
            node.announce_leaving();
            acknowledge(exchange).await;
        }
        _ => exchange.cancel(),
    }
}

async fn acknowledge(mut exchange: Exchange) {
    if exchange.send(&Frame::End).await.is_ok() {
        exchange.finish();
        exchange.flush().await;
    }
}
