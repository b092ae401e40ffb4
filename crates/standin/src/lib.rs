//! Small fakes of the engine, service, log, instance list, cloud and weight store.
