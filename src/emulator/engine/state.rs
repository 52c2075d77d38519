//! State of the engine: loaded models and adapters, memory, and the record.

use std::collections::BTreeMap;

use super::record::{
    Completion,
    End,
    Record, //
};
use crate::{
    client::engine::{
        Inventory,
        Order,
        Resident,
        State as ModelState, //
    },
    id,
};

/// Outcome of an order: an HTTP status and an error message, which is empty on success.
pub(super) type Outcome = (u16, &'static str);

/// Outcome of a successful order.
pub(super) const DONE: Outcome = (200, "");

const BUSY: Outcome = (423, "another order for the model is in progress");
const NO_MEMORY: Outcome = (507, "not enough memory");
const NO_WEIGHTS: Outcome = (502, "fetching the weights from the store failed");
const NOT_LOADED: Outcome = (404, "model is not loaded");

/// What the engine holds and what it has done.
#[derive(Debug)]
pub(super) struct State {
    memory_mb: u64,
    checks_fence: bool,
    /// Highest fencing token seen, 0 if the engine does not check tokens.
    fence: u64,
    models: BTreeMap<id::Model, Resident>,
    /// Memory in MiB of each adapter that is being loaded.
    loading_adapters: BTreeMap<(id::Model, id::Adapter), u64>,
    record: Record,
}

impl State {
    /// Returns the state of an engine that holds nothing.
    pub(super) fn new(memory_mb: u64, checks_fence: bool) -> Self {
        Self {
            memory_mb,
            checks_fence,
            fence: 0,
            models: BTreeMap::new(),
            loading_adapters: BTreeMap::new(),
            record: Record::default(),
        }
    }

    /// Returns the record of what the engine has done.
    pub(super) fn record(&self) -> &Record {
        &self.record
    }

    /// Returns what the engine holds.
    pub(super) fn inventory(&self) -> Inventory {
        Inventory {
            fence: self.fence,
            memory_mb: self.memory_mb,
            models: self.models.values().cloned().collect(),
        }
    }

    /// Returns whether the model version, and the adapter if any, are loaded.
    pub(super) fn serves(&self, model: &id::Model, adapter: Option<&id::Adapter>) -> bool {
        let Some(resident) = self.models.get(model) else {
            return false;
        };
        let has = |wanted| resident.adapters.iter().any(|(own, _)| own == wanted);
        resident.state == ModelState::Loaded && adapter.is_none_or(has)
    }

    /// Counts an order.
    pub(super) fn count_order(&mut self, repeated: bool) {
        self.record.orders += 1;
        self.record.repeated_orders += u64::from(repeated);
    }

    /// Refuses an order with a stale fencing token if the engine checks it.
    pub(super) fn check_fence(&mut self, order: &Order) -> Result<(), Outcome> {
        if !self.checks_fence {
            return Ok(());
        }
        if order.fence < self.fence {
            self.record.refused_fence += 1;
            return Err((409, "stale fencing token"));
        }
        self.fence = order.fence;
        Ok(())
    }

    /// Begins to load a model version, reserving its memory. Returns the outcome of the order as an
    /// error if no load begins: `DONE` if the model is loaded already, otherwise a refusal.
    pub(super) fn begin_load(&mut self, order: &Order) -> Result<(), Outcome> {
        match self.models.get(&order.model).map(|resident| resident.state) {
            Some(ModelState::Loaded) => return Err(DONE),
            Some(ModelState::Loading | ModelState::Unloading) => return Err(BUSY),
            None => {}
        }
        self.check_memory(order.memory_mb)?;
        let resident = Resident {
            model: order.model.clone(),
            state: ModelState::Loading,
            memory_mb: order.memory_mb,
            adapters: Vec::new(),
        };
        self.models.insert(order.model.clone(), resident);
        self.record.loads_started.push(order.model.clone());
        self.update_usage();
        Ok(())
    }

    /// Ends a load. A failed one frees its memory.
    pub(super) fn end_load(&mut self, model: &id::Model, fetched: bool) -> Outcome {
        if fetched {
            if let Some(resident) = self.models.get_mut(model) {
                resident.state = ModelState::Loaded;
            }
            self.record.loads_finished.push(model.clone());
            return DONE;
        }
        self.models.remove(model);
        self.record.loads_failed.push(model.clone());
        self.update_usage();
        NO_WEIGHTS
    }

    /// Stops serving a model version. Its memory stays in use until the unload ends. Returns the
    /// outcome of the order as an error if no unload begins: `DONE` if the engine doesn't hold the
    /// model, otherwise a refusal.
    pub(super) fn begin_unload(&mut self, model: &id::Model) -> Result<(), Outcome> {
        let Some(resident) = self.models.get_mut(model) else {
            return Err(DONE);
        };
        if resident.state != ModelState::Loaded {
            return Err(BUSY);
        }
        resident.state = ModelState::Unloading;
        Ok(())
    }

    /// Frees the memory of a model version and its adapters.
    pub(super) fn end_unload(&mut self, model: &id::Model) -> Outcome {
        self.models.remove(model);
        self.record.unloads.push(model.clone());
        self.update_usage();
        DONE
    }

    /// Begins to load an adapter, reserving its memory. Returns the outcome of the order as an error
    /// if no load begins, as [`Self::begin_load`] does.
    pub(super) fn begin_adapter(
        &mut self,
        order: &Order,
        adapter: &id::Adapter,
    ) -> Result<(), Outcome> {
        if !self.serves(&order.model, None) {
            return Err(NOT_LOADED);
        }
        if self.serves(&order.model, Some(adapter)) {
            return Err(DONE);
        }
        let key = (order.model.clone(), adapter.clone());
        if self.loading_adapters.contains_key(&key) {
            return Err(BUSY);
        }
        self.check_memory(order.memory_mb)?;
        self.loading_adapters.insert(key, order.memory_mb);
        self.update_usage();
        Ok(())
    }

    /// Ends the load of an adapter, whose model may have been unloaded meanwhile.
    pub(super) fn end_adapter(
        &mut self,
        order: &Order,
        adapter: &id::Adapter,
        fetched: bool,
    ) -> Outcome {
        let key = (order.model.clone(), adapter.clone());
        self.loading_adapters.remove(&key);
        let outcome = match self.models.get_mut(&order.model) {
            _ if !fetched => NO_WEIGHTS,
            Some(resident) => {
                resident.adapters.push((adapter.clone(), order.memory_mb));
                self.record.adapter_loads.push(adapter.clone());
                DONE
            }
            None => NOT_LOADED,
        };
        self.update_usage();
        outcome
    }

    /// Removes an adapter.
    pub(super) fn unload_adapter(&mut self, model: &id::Model, adapter: &id::Adapter) -> Outcome {
        if let Some(resident) = self.models.get_mut(model) {
            resident.adapters.retain(|(own, _)| own != adapter);
        }
        self.update_usage();
        DONE
    }

    /// Records a completion and returns its index.
    pub(super) fn record_accepted(&mut self, completion: Completion) -> usize {
        self.record.completions.push(completion);
        self.record.completions.len() - 1
    }

    /// Records that a completion begins to run.
    pub(super) fn record_begin(&mut self, index: usize) {
        self.record.began += 1;
        self.record.completions[index].began = self.record.began;
    }

    /// Records an event of a completion.
    pub(super) fn record_event(&mut self, index: usize) {
        self.record.completions[index].produced += 1;
    }

    /// Records the end of a completion.
    pub(super) fn record_end(&mut self, index: usize, end: End) {
        self.record.completions[index].end = end;
    }

    /// Refuses a load that exceeds the memory, and records the refusal.
    fn check_memory(&mut self, wanted_mb: u64) -> Result<(), Outcome> {
        if self.used_mb() + wanted_mb <= self.memory_mb {
            return Ok(());
        }
        self.record.refused_memory += 1;
        Err(NO_MEMORY)
    }

    /// Returns the memory in use by models and adapters, loaded or loading, in MiB.
    fn used_mb(&self) -> u64 {
        let adapters = |resident: &Resident| -> u64 {
            let sizes = resident.adapters.iter().map(|(_, memory_mb)| memory_mb);
            sizes.sum()
        };
        let models = self.models.values();
        let models: u64 = models
            .map(|resident| resident.memory_mb + adapters(resident))
            .sum();
        models + self.loading_adapters.values().sum::<u64>()
    }

    /// Updates the memory and model counts in the record.
    fn update_usage(&mut self) {
        let used = self.used_mb();
        self.record.memory_mb = used;
        self.record.most_memory_mb = self.record.most_memory_mb.max(used);
        self.record.most_models = self.record.most_models.max(self.models.len());
    }
}
